package org.sequoiareach.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.request.Reason;

/**
 * A caller's completion request, reduced to the fields that the daemon reads. The other fields are
 * only passed on to the engine.
 *
 * @param model the name of the model
 * @param prompt the roles and contents of all messages, concatenated
 * @param maxTokens the maximum number of answer tokens; 0 if the caller set none
 * @param streamed whether the answer is streamed
 * @param usageWanted whether a streamed answer ends with token usage
 * @param callClass the call class named in the metadata; empty if there is none
 */
record CallerCompletionRequest(
    String model,
    String prompt,
    int maxTokens,
    boolean streamed,
    boolean usageWanted,
    String callClass) {

  private static final int MAX_CALL_CLASS_CHARS = 100;

  /**
   * Parses a request body.
   *
   * @throws org.sequoiareach.model.request.RequestFailedException if a field is invalid; the
   *     message names the field and its value
   */
  static CallerCompletionRequest parse(byte[] body) {
    JsonNode tree = readTree(body);
    JsonNode model = tree.path("model");
    if (!model.isTextual() || model.asText().isBlank()) {
      throw invalidField("model", model, "a non-empty string");
    }
    JsonNode messages = tree.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw invalidField("messages", messages, "a non-empty array");
    }
    JsonNode n = tree.path("n");
    if (!n.isMissingNode() && n.asInt(0) != 1) {
      throw invalidField("n", n, "1");
    }
    return new CallerCompletionRequest(
        model.asText(),
        joinMessages(messages),
        readMaxTokens(tree),
        readFlag(tree, "stream"),
        tree.path("stream_options").path("include_usage").asBoolean(false),
        readCallClass(tree));
  }

  private static ObjectNode readTree(byte[] body) {
    try {
      if (Json.mapper().readTree(body) instanceof ObjectNode tree) {
        return tree;
      }
    } catch (IOException e) {
      throw Refusals.of(Reason.BAD_REQUEST, "the request body is not valid JSON: " + firstLine(e));
    }
    throw Refusals.of(Reason.BAD_REQUEST, "the request body is not a JSON object");
  }

  private static String joinMessages(JsonNode messages) {
    StringBuilder text = new StringBuilder();
    for (JsonNode message : messages) {
      if (!message.isObject() || !message.path("role").isTextual()) {
        throw invalidField("messages[]", message, "an object with a role");
      }
      text.append(message.path("role").asText()).append('\n');
      JsonNode content = message.path("content");
      text.append(content.isTextual() ? content.asText() : content.toString()).append('\n');
    }
    return text.toString();
  }

  private static int readMaxTokens(JsonNode tree) {
    for (String name : new String[] {"max_completion_tokens", "max_tokens"}) {
      JsonNode value = tree.path(name);
      if (value.isMissingNode() || value.isNull()) {
        continue;
      }
      if (!value.isInt() || value.asInt() < 1) {
        throw invalidField(name, value, "an integer of at least 1");
      }
      return value.asInt();
    }
    return 0;
  }

  private static boolean readFlag(JsonNode tree, String name) {
    JsonNode value = tree.path(name);
    if (value.isMissingNode() || value.isNull()) {
      return false;
    }
    if (!value.isBoolean()) {
      throw invalidField(name, value, "true or false");
    }
    return value.asBoolean();
  }

  private static String readCallClass(JsonNode tree) {
    String text = tree.path("metadata").path("call_class").asText("");
    return text.length() <= MAX_CALL_CLASS_CHARS ? text : text.substring(0, MAX_CALL_CLASS_CHARS);
  }

  private static RuntimeException invalidField(String field, JsonNode value, String expected) {
    String text = value.isMissingNode() ? "missing" : abbreviate(value.toString());
    String message = "'" + field + "' is " + text + " and must be " + expected;
    return Refusals.of(Reason.BAD_REQUEST, message);
  }

  private static String abbreviate(String text) {
    return text.length() <= 100 ? text : text.substring(0, 100) + "…";
  }

  private static String firstLine(IOException e) {
    return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
  }
}
