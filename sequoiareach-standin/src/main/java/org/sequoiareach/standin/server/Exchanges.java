package org.sequoiareach.standin.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.reactivestreams.Publisher;
import org.sequoiareach.model.json.Json;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Provides utilities for reading HTTP requests and writing HTTP responses. */
public final class Exchanges {

  private static final String CONTENT_TYPE = "content-type";

  private Exchanges() {}

  /**
   * Reads the complete body of a request.
   *
   * @param request the request
   * @return the text; empty if there is no body
   */
  public static Mono<String> bodyText(HttpServerRequest request) {
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
        .defaultIfEmpty("");
  }

  /**
   * Parses a JSON document.
   *
   * @param text the text
   * @return the tree; an empty object if the text is blank
   * @throws IllegalArgumentException if the text is not JSON
   */
  public static JsonNode parse(String text) {
    if (text.isBlank()) {
      return Json.mapper().createObjectNode();
    }
    try {
      return Json.mapper().readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
    }
  }

  /**
   * Serializes a value as JSON.
   *
   * @param value a record, a map or a tree
   * @return the text
   */
  public static String write(Object value) {
    try {
      return Json.mapper().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Sends a JSON response.
   *
   * @param response the response
   * @param status the HTTP status
   * @param value a record, a map or a tree
   * @return a publisher that completes when the response was sent
   */
  public static Publisher<Void> json(HttpServerResponse response, int status, Object value) {
    return response
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .sendString(Mono.just(write(value)));
  }

  /**
   * Sends an error response.
   *
   * @param response the response
   * @param status the HTTP status
   * @param message the error message
   * @return a publisher that completes when the response was sent
   */
  public static Publisher<Void> error(HttpServerResponse response, int status, String message) {
    String text = message == null ? "" : message;
    return json(response, status, Map.of("error", Map.of("message", text, "code", status)));
  }

  /**
   * Closes the connection without a response.
   *
   * @param request the request
   * @return a publisher that never completes
   */
  public static Publisher<Void> drop(HttpServerRequest request) {
    return dropStream(request);
  }

  /**
   * Closes the connection in the middle of a streamed response.
   *
   * @param request the request
   * @param <T> the element type of the response stream
   * @return a publisher that never completes
   */
  public static <T> Mono<T> dropStream(HttpServerRequest request) {
    request.withConnection(connection -> connection.channel().close());
    return Mono.never();
  }
}
