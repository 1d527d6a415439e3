package org.sequoiareach.daemon.caller;

import java.util.List;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.daemon.attempt.Exchange;
import org.sequoiareach.daemon.attempt.Failures;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Takes new completions: {@code POST /v1/chat/completions}. */
final class CompletionHandler {

  /** The usual length of a token, by which prompts are measured before the engine counts. */
  private static final int CHARS_PER_TOKEN = 4;

  private final KeyDirectory keys;
  private final CallContext calls;
  private final RequestIds ids;
  private final BodyReader bodies;
  private final DeadlineResolver deadlines;

  CompletionHandler(
      KeyDirectory keys,
      CallContext calls,
      RequestIds ids,
      BodyReader bodies,
      DeadlineResolver deadlines) {
    this.keys = keys;
    this.calls = calls;
    this.ids = ids;
    this.bodies = bodies;
    this.deadlines = deadlines;
  }

  Publisher<Void> create(HttpServerRequest request, HttpServerResponse response) {
    String key = request.requestHeaders().get("Authorization");
    Optional<OrganisationEntry> organisation = keys.findOrganisation(key);
    if (organisation.isEmpty()) {
      return ErrorResponses.openAi(response, KeyRefusal.of(keys));
    }
    return bodies
        .read(request)
        .flatMap(body -> Mono.from(run(request, response, organisation.get(), body)))
        .onErrorResume(
            thrown -> Mono.from(ErrorResponses.openAi(response, Failures.classify(thrown))));
  }

  private Publisher<Void> run(
      HttpServerRequest request,
      HttpServerResponse response,
      OrganisationEntry organisation,
      byte[] body) {
    CompletionRequest completion = CompletionRequest.parse(body);
    RequestSpec spec = spec(completion, organisation);
    RequestContent content = new RequestContent("POST", "/v1/chat/completions", List.of(), body);
    Exchange exchange = new Exchange(spec, content);
    long deadlineMs = deadlines.resolve(request);
    response.header("X-Request-Id", spec.requestId());
    CompletionWriter writer = new CompletionWriter(organisation, completion.usageWanted());
    if (completion.streamed()) {
      return writer.stream(response, calls.submit(exchange, deadlineMs));
    }
    return writer.whole(response, calls.submit(exchange, deadlineMs));
  }

  private RequestSpec spec(CompletionRequest completion, OrganisationEntry organisation) {
    ModelEntry model =
        keys.findSheet()
            .flatMap(sheet -> sheet.findModel(completion.model()))
            .filter(found -> organisation.models().contains(found.name()))
            .orElseThrow(() -> unknownModel(completion.model()));
    int promptTokens = Math.max(1, completion.prompt().length() / CHARS_PER_TOKEN);
    int room = model.contextTokens() - promptTokens;
    if (room < 1) {
      String message =
          "the prompt of about " + promptTokens + " tokens exceeds the context of " + model.name();
      throw Refusals.of(Reason.TOO_LARGE, message);
    }
    int maxTokens = completion.maxTokens() == 0 ? room : Math.min(room, completion.maxTokens());
    return new RequestSpec(
        ids.next(),
        organisation.id(),
        RequestKind.GENERATION,
        model.name(),
        completion.callClass(),
        true,
        "",
        promptTokens,
        maxTokens,
        PrefixDigests.of(completion.prompt()),
        completion.streamed());
  }

  private static RuntimeException unknownModel(String name) {
    String message = "the model '" + name + "' does not exist or is not open to this organisation";
    return Refusals.of(Reason.NOT_FOUND, message);
  }
}
