package org.sequoiareach.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.standin.server.Exchanges;

/** Writes answers and the events of streams in the OpenAI form. */
final class AnswerWriter {

  static final String DONE = "data: [DONE]\n\n";

  private static final String EVENT_FORM = "id: %d\ndata: %s\n\n";

  private final long createdSeconds = System.currentTimeMillis() / 1_000;

  /** Returns the text of the n-th token, from 1; it names its generation and its place. */
  static String token(Generation generation, int n) {
    return generation.request.marker() + ":" + n + " ";
  }

  String tokenEvent(Generation generation, int n) {
    ObjectNode chunk = object(generation, "chat.completion.chunk");
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    ObjectNode delta = choice.putObject("delta");
    if (n == 1) {
      delta.put("role", "assistant");
    }
    delta.put("content", token(generation, n));
    choice.putNull("finish_reason");
    return EVENT_FORM.formatted(n, Exchanges.write(chunk));
  }

  /** Writes the event after the last token; its id is one more than that of the last token. */
  String lastEvent(Generation generation) {
    ObjectNode chunk = object(generation, "chat.completion.chunk");
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    choice.putObject("delta");
    choice.put("finish_reason", generation.finishReason());
    addUsage(chunk, generation);
    return EVENT_FORM.formatted(generation.tokens + 1, Exchanges.write(chunk));
  }

  ObjectNode whole(Generation generation) {
    ObjectNode answer = object(generation, "chat.completion");
    ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
    StringBuilder text = new StringBuilder();
    for (int n = 1; n <= generation.tokens; n++) {
      text.append(token(generation, n));
    }
    choice.putObject("message").put("role", "assistant").put("content", text.toString());
    choice.put("finish_reason", generation.finishReason());
    addUsage(answer, generation);
    return answer;
  }

  private ObjectNode object(Generation generation, String type) {
    return Json.mapper()
        .createObjectNode()
        .put("id", generation.request.id())
        .put("object", type)
        .put("created", createdSeconds)
        .put("model", generation.request.model());
  }

  private static void addUsage(ObjectNode node, Generation generation) {
    node.putObject("usage")
        .put("prompt_tokens", generation.promptTokens)
        .put("completion_tokens", generation.tokens)
        .put("total_tokens", generation.contextTokens());
  }
}
