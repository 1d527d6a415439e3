package org.sequoiareach.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.List;
import java.util.stream.IntStream;
import org.sequoiareach.model.json.Json;

/** Reads recorded streams of completions. */
final class Streams {

  private static final String DATA = "data: ";

  private Streams() {}

  /** Returns the content of each token, in the order received. */
  static List<String> contents(String stream) {
    return stream
        .lines()
        .filter(line -> line.startsWith(DATA + "{"))
        .map(line -> content(line.substring(DATA.length())))
        .filter(content -> !content.isEmpty())
        .toList();
  }

  /** Returns the error that ends a stream; missing where it has none. */
  static JsonNode error(String stream) {
    return stream
        .lines()
        .filter(line -> line.startsWith(DATA + "{\"error\""))
        .map(line -> parse(line.substring(DATA.length())).path("error"))
        .findFirst()
        .orElse(MissingNode.getInstance());
  }

  /** Returns the contents that the stand-in gives to a range of tokens. */
  static List<String> expected(String marker, int from, int to) {
    return IntStream.rangeClosed(from, to).mapToObj(n -> marker + ":" + n + " ").toList();
  }

  private static String content(String json) {
    return parse(json).at("/choices/0/delta/content").asText("");
  }

  static JsonNode parse(String json) {
    try {
      return Json.mapper().readTree(json);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not JSON: " + json, e);
    }
  }
}
