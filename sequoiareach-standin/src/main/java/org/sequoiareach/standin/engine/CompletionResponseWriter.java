package org.sequoiareach.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.standin.server.Exchanges;

/** Writes completions and stream events in the format of the OpenAI chat completions API. */
final class CompletionResponseWriter {

  static final String DONE_EVENT = "data: [DONE]\n\n";

  private static final String EVENT_FORMAT = "id: %d\ndata: %s\n\n";

  private final long createdSeconds = System.currentTimeMillis() / 1_000;

  /** Returns the text of the n-th token (from 1), which identifies its generation and position. */
  static String tokenText(Generation generation, int n) {
    return generation.request.marker() + ":" + n + " ";
  }

  String tokenEvent(Generation generation, int n) {
    ObjectNode chunk = object(generation, "chat.completion.chunk");
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    ObjectNode delta = choice.putObject("delta");
    if (n == 1) {
      delta.put("role", "assistant");
    }
    delta.put("content", tokenText(generation, n));
    choice.putNull("finish_reason");
    return EVENT_FORMAT.formatted(n, Exchanges.write(chunk));
  }

  /** Returns the event with the finish reason; its id is one above that of the last token. */
  String finalEvent(Generation generation) {
    ObjectNode chunk = object(generation, "chat.completion.chunk");
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    choice.putObject("delta");
    choice.put("finish_reason", generation.finishReason());
    addUsage(chunk, generation);
    return EVENT_FORMAT.formatted(generation.tokens + 1, Exchanges.write(chunk));
  }

  ObjectNode completion(Generation generation) {
    ObjectNode completion = object(generation, "chat.completion");
    ObjectNode choice = completion.putArray("choices").addObject().put("index", 0);
    StringBuilder text = new StringBuilder();
    for (int n = 1; n <= generation.tokens; n++) {
      text.append(tokenText(generation, n));
    }
    choice.putObject("message").put("role", "assistant").put("content", text.toString());
    choice.put("finish_reason", generation.finishReason());
    addUsage(completion, generation);
    return completion;
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
