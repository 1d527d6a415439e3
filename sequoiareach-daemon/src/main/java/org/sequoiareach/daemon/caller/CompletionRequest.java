package org.sequoiareach.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.request.Reason;

/**
 * Holds the fields of a completion request that this system reads; all others pass through.
 *
 * @param model the model's name
 * @param prompt the text of all messages, joined
 * @param maxTokens the most tokens of the answer; 0 where the caller set none
 * @param streamed whether the caller wants a stream
 * @param usageWanted whether the caller wants usage at the end of its stream
 * @param callClass the kind of call named in the metadata; empty where none is
 */
record CompletionRequest(
    String model,
    String prompt,
    int maxTokens,
    boolean streamed,
    boolean usageWanted,
    String callClass) {

  private static final int MAX_CALL_CLASS_CHARS = 100;

  /** Reads a body; refuses it with the name and value of the wrong field. */
  static CompletionRequest parse(byte[] body) {
    JsonNode tree = readTree(body);
    JsonNode model = tree.path("model");
    if (!model.isTextual() || model.asText().isBlank()) {
      throw wrong("model", model, "a non-empty text");
    }
    JsonNode messages = tree.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw wrong("messages", messages, "a non-empty list");
    }
    JsonNode n = tree.path("n");
    if (!n.isMissingNode() && n.asInt(0) != 1) {
      throw wrong("n", n, "1");
    }
    return new CompletionRequest(
        model.asText(),
        prompt(messages),
        maxTokens(tree),
        flag(tree, "stream"),
        tree.path("stream_options").path("include_usage").asBoolean(false),
        callClass(tree));
  }

  private static ObjectNode readTree(byte[] body) {
    try {
      if (Json.mapper().readTree(body) instanceof ObjectNode tree) {
        return tree;
      }
    } catch (IOException e) {
      throw Refusals.of(Reason.BAD_REQUEST, "the body is not JSON: " + firstLine(e));
    }
    throw Refusals.of(Reason.BAD_REQUEST, "the body is not a JSON object");
  }

  private static String prompt(JsonNode messages) {
    StringBuilder text = new StringBuilder();
    for (JsonNode message : messages) {
      if (!message.isObject() || !message.path("role").isTextual()) {
        throw wrong("messages", message, "objects with a role");
      }
      text.append(message.path("role").asText()).append('\n');
      JsonNode content = message.path("content");
      text.append(content.isTextual() ? content.asText() : content.toString()).append('\n');
    }
    return text.toString();
  }

  private static int maxTokens(JsonNode tree) {
    for (String name : new String[] {"max_completion_tokens", "max_tokens"}) {
      JsonNode value = tree.path(name);
      if (value.isMissingNode() || value.isNull()) {
        continue;
      }
      if (!value.isInt() || value.asInt() < 1) {
        throw wrong(name, value, "a whole number from 1");
      }
      return value.asInt();
    }
    return 0;
  }

  private static boolean flag(JsonNode tree, String name) {
    JsonNode value = tree.path(name);
    if (value.isMissingNode() || value.isNull()) {
      return false;
    }
    if (!value.isBoolean()) {
      throw wrong(name, value, "true or false");
    }
    return value.asBoolean();
  }

  private static String callClass(JsonNode tree) {
    String text = tree.path("metadata").path("call_class").asText("");
    return text.length() <= MAX_CALL_CLASS_CHARS ? text : text.substring(0, MAX_CALL_CLASS_CHARS);
  }

  private static RuntimeException wrong(String field, JsonNode value, String expected) {
    String text = value.isMissingNode() ? "missing" : shorten(value.toString());
    String message = "'" + field + "' is " + text + " and must be " + expected;
    return Refusals.of(Reason.BAD_REQUEST, message);
  }

  private static String shorten(String text) {
    return text.length() <= 100 ? text : text.substring(0, 100) + "…";
  }

  private static String firstLine(IOException e) {
    return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
  }
}
