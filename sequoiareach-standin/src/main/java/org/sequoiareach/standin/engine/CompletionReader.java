package org.sequoiareach.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalInt;
import java.util.UUID;
import org.sequoiareach.model.Check;
import reactor.netty.http.server.HttpServerRequest;

/** Reads requests in the OpenAI form. */
final class CompletionReader {

  private static final String ID_PREFIX = "chatcmpl-";

  private CompletionReader() {}

  static CompletionRequest read(HttpServerRequest request, JsonNode body) {
    Check.isTrue(body.path("messages").isArray(), "'messages' must be an array.");
    String name = request.requestHeaders().get("X-Request-Id");
    String prompt = readPrompt(body.path("messages"));
    JsonNode metadata = body.path("metadata");
    JsonNode limit =
        body.has("max_tokens") ? body.get("max_tokens") : body.path("max_completion_tokens");
    return new CompletionRequest(
        ID_PREFIX + (name == null ? UUID.randomUUID().toString() : name),
        body.path("model").asText(),
        prompt,
        readPositive(limit),
        body.path("priority").asInt(0),
        metadata.path("marker").asText(PromptBlocks.digest(prompt).substring(0, 8)),
        readPositive(metadata.path("answer_tokens")));
  }

  static String readPrompt(JsonNode messages) {
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

  private static OptionalInt readPositive(JsonNode node) {
    if (node.isMissingNode() || node.isNull()) {
      return OptionalInt.empty();
    }
    int value = node.asInt();
    Check.isTrue(value > 0, "A number of tokens must be positive.");
    return OptionalInt.of(value);
  }
}
