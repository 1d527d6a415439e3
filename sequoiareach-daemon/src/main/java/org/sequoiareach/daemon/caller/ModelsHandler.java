package org.sequoiareach.daemon.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.sheet.OrganisationEntry;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Lists the models available to the caller's organisation: {@code GET /v1/models}. */
final class ModelsHandler {

  private final PlatformDirectory directory;

  ModelsHandler(PlatformDirectory directory) {
    this.directory = directory;
  }

  Publisher<Void> list(HttpServerRequest request, HttpServerResponse response) {
    String key = request.requestHeaders().get("Authorization");
    Optional<OrganisationEntry> organisation = directory.findOrganisation(key);
    if (organisation.isEmpty()) {
      return ErrorResponses.writeOpenAi(response, AuthenticationFailures.of(directory));
    }
    ObjectNode body = Json.mapper().createObjectNode();
    body.put("object", "list");
    ArrayNode data = body.putArray("data");
    for (String name : organisation.get().models()) {
      ObjectNode model = data.addObject();
      model.put("id", name);
      model.put("object", "model");
      model.put("created", 0);
      model.put("owned_by", "sequoiareach");
    }
    response.header("Content-Type", "application/json");
    return response.sendByteArray(Mono.just(ErrorResponses.toBytes(body)));
  }
}
