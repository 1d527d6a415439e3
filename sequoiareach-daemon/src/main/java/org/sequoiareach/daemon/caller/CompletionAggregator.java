package org.sequoiareach.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.model.json.Json;

/** Aggregates the chunks of one generation into a complete answer. Not thread-safe. */
final class CompletionAggregator {

  private final StringBuilder content = new StringBuilder();
  private String targetId = "";
  private String attemptId = "";
  private String model = "";
  private long created;
  private String finishReason = "stop";
  private JsonNode usage = Json.mapper().nullNode();

  /** Adds a part. The first part of another attempt discards the content of the previous one. */
  void add(AnswerPart part) {
    if (!(part instanceof AnswerPart.Data data)) {
      return;
    }
    if (!data.attemptId().equals(attemptId)) {
      targetId = data.targetId();
      attemptId = data.attemptId();
      content.setLength(0);
    }
    merge(parse(data.payload()));
  }

  String targetId() {
    return targetId;
  }

  String attemptId() {
    return attemptId;
  }

  /** Returns the completion object with the given ID. */
  ObjectNode build(String id) {
    ObjectNode body = Json.mapper().createObjectNode();
    body.put("id", id);
    body.put("object", "chat.completion");
    body.put("created", created);
    body.put("model", model);
    ObjectNode choice = body.putArray("choices").addObject();
    choice.put("index", 0);
    ObjectNode message = choice.putObject("message");
    message.put("role", "assistant");
    message.put("content", content.toString());
    choice.put("finish_reason", finishReason);
    body.set("usage", usage);
    return body;
  }

  private void merge(JsonNode chunk) {
    model = chunk.path("model").asText(model);
    created = chunk.path("created").asLong(created);
    JsonNode choice = chunk.path("choices").path(0);
    content.append(choice.path("delta").path("content").asText(""));
    if (choice.path("finish_reason").isTextual()) {
      finishReason = choice.path("finish_reason").asText();
    }
    if (chunk.path("usage").isObject()) {
      usage = chunk.path("usage");
    }
  }

  private static JsonNode parse(byte[] payload) {
    try {
      return Json.mapper().readTree(payload);
    } catch (IOException e) {
      throw new IllegalStateException("a chunk from the target is not valid JSON", e);
    }
  }
}
