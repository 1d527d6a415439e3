package org.sequoiareach.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalInt;
import java.util.UUID;
import org.sequoiareach.model.Check;
import reactor.netty.http.server.HttpServerRequest;

/** Parses requests in the format of the OpenAI chat completions API. */
final class CompletionRequestParser {

  private static final String ID_PREFIX = "chatcmpl-";

  private CompletionRequestParser() {}

  static GenerationRequest parse(HttpServerRequest request, JsonNode body) {
    Check.isTrue(body.path("messages").isArray(), "'messages' must be an array.");
    String requestId = request.requestHeaders().get("X-Request-Id");
    String prompt = concatenateMessages(body.path("messages"));
    JsonNode metadata = body.path("metadata");
    String limitName = body.has("max_tokens") ? "max_tokens" : "max_completion_tokens";
    return new GenerationRequest(
        ID_PREFIX + (requestId == null ? UUID.randomUUID().toString() : requestId),
        body.path("model").asText(),
        prompt,
        parseTokenCount(body, limitName),
        body.path("priority").asInt(0),
        metadata.path("marker").asText(PromptBlocks.digest(prompt).substring(0, 8)),
        parseTokenCount(metadata, "answer_tokens"));
  }

  static String concatenateMessages(JsonNode messages) {
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : messages) {
      prompt.append(message.path("role").asText()).append('\n');
      JsonNode content = message.path("content");
      if (content.isArray()) {
        content.forEach(part -> prompt.append(part.path("text").asText()));
      } else {
        prompt.append(content.asText(""));
      }
      prompt.append('\n');
    }
    return prompt.toString();
  }

  private static OptionalInt parseTokenCount(JsonNode parent, String name) {
    JsonNode node = parent.path(name);
    if (node.isMissingNode() || node.isNull()) {
      return OptionalInt.empty();
    }
    int value = node.asInt();
    Check.isTrue(
        value > 0, "'" + name + "' must be a positive number of tokens, but was " + node + ".");
    return OptionalInt.of(value);
  }
}
