package org.sequoiareach.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.List;
import java.util.stream.IntStream;
import org.sequoiareach.model.json.Json;

/** Parses recorded completion streams. */
final class CompletionStreams {

  private static final String DATA_PREFIX = "data: ";

  private CompletionStreams() {}

  /** Returns the content of each token, in the order received. */
  static List<String> contents(String stream) {
    return stream
        .lines()
        .filter(line -> line.startsWith(DATA_PREFIX + "{"))
        .map(line -> content(line.substring(DATA_PREFIX.length())))
        .filter(content -> !content.isEmpty())
        .toList();
  }

  /** Returns the error that ends a stream, or a missing node if there is none. */
  static JsonNode error(String stream) {
    return stream
        .lines()
        .filter(line -> line.startsWith(DATA_PREFIX + "{\"error\""))
        .map(line -> parse(line.substring(DATA_PREFIX.length())).path("error"))
        .findFirst()
        .orElse(MissingNode.getInstance());
  }

  /** Returns the contents that the stand-in engine generates for a range of tokens. */
  static List<String> expectedContents(String marker, int from, int to) {
    return IntStream.rangeClosed(from, to).mapToObj(n -> marker + ":" + n + " ").toList();
  }

  private static String content(String json) {
    return parse(json).at("/choices/0/delta/content").asText("");
  }

  static JsonNode parse(String json) {
    try {
      return Json.mapper().readTree(json);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("invalid JSON: " + json, e);
    }
  }
}
