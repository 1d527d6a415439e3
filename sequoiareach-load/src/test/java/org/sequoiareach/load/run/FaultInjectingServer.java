package org.sequoiareach.load.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.reactivestreams.Publisher;
import org.sequoiareach.model.json.Json;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Test server that injects a given fault into its responses and serves the record of a target. */
final class FaultInjectingServer implements AutoCloseable {

  /** The injected faults. */
  enum Fault {
    NONE,
    CROSSED,
    SPLICED,
    CUT_SHORT,
    NOT_RUN_BUT_RAN,
    ERROR_EVENT,
    RUNS_TWICE,
    PIECE_WITHOUT_ID,
    UNKNOWN_LINE,
    ID_WITH_SIGN,
    ID_REPEATED,
    SILENT
  }

  private final Fault fault;
  private final Map<String, String> markers = new ConcurrentHashMap<>();
  private final Map<String, Long> runs = new ConcurrentHashMap<>();
  private final DisposableServer server;

  FaultInjectingServer(Fault fault) {
    this.fault = fault;
    this.server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes
                        .get("/record", this::writeRecord)
                        .post("/v1/chat/completions", this::complete)
                        .post("/bookings", this::book))
            .bindNow();
  }

  String address() {
    return "http://127.0.0.1:" + server.port();
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private Publisher<Void> complete(HttpServerRequest request, HttpServerResponse response) {
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .flatMap(bytes -> Mono.from(answer(parse(bytes), response)));
  }

  private Publisher<Void> answer(JsonNode body, HttpServerResponse response) {
    String marker = body.at("/metadata/marker").asText();
    int tokens =
        Math.min(
            Integer.parseInt(body.at("/metadata/answer_tokens").asText()),
            body.path("max_tokens").asInt());
    markers.put("chatcmpl-" + marker, marker);
    return switch (fault) {
      case SILENT ->
          response.sse().sendString(Flux.just(chunk(1, "g", marker)).concatWith(Flux.never()));
      case NOT_RUN_BUT_RAN ->
          response
              .status(503)
              .header("Sequoiareach-Verdict", "not-run")
              .header("Retry-After", "1")
              .sendString(Mono.just("{\"error\":{\"code\":\"no-capacity\"}}"));
      default -> response.sse().sendString(Flux.just(stream(marker, tokens)));
    };
  }

  private String stream(String marker, int tokens) {
    StringBuilder text = new StringBuilder();
    int last = fault == Fault.CUT_SHORT || fault == Fault.ERROR_EVENT ? 1 : tokens;
    for (int n = 1; n <= last; n++) {
      String name = fault == Fault.CROSSED && n == 2 ? "other" : marker;
      String generation = fault == Fault.SPLICED && n == 2 ? "h" : "g";
      text.append(chunk(n, generation, name));
      text.append(fault == Fault.PIECE_WITHOUT_ID && n == 1 ? "data: {}\n\n" : "");
      text.append(fault == Fault.UNKNOWN_LINE && n == 1 ? "HTTP/1.1 200 OK\n\n" : "");
      text.append(fault == Fault.ID_WITH_SIGN && n == 1 ? "id: +2\ndata: {}\n\n" : "");
      text.append(fault == Fault.ID_REPEATED && n == 1 ? "id: 1\ndata: {}\n\n" : "");
    }
    if (fault == Fault.ERROR_EVENT) {
      return text
          + "data: {\"error\":{\"code\":\"target-failed\",\"verdict\":\"may-have-run\"}}\n\n";
    }
    text.append("data: {\"id\":\"g\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n");
    return text.append("data: [DONE]\n\n").toString();
  }

  private static String chunk(int n, String generation, String marker) {
    return String.format(
        "id: %d\ndata: {\"id\":\"%s\",\"choices\":[{\"delta\":{\"content\":\"%s:%d \"}}]}\n\n",
        n, generation, marker, n);
  }

  private Publisher<Void> book(HttpServerRequest request, HttpServerResponse response) {
    String key = request.requestHeaders().get("Idempotency-Key");
    runs.merge(key, fault == Fault.RUNS_TWICE ? 2L : 1L, Long::sum);
    String answered = fault == Fault.CROSSED ? "other" : key;
    return response.sendString(Mono.just("{\"idempotencyKey\":\"" + answered + "\"}"));
  }

  private Publisher<Void> writeRecord(HttpServerRequest request, HttpServerResponse response) {
    ObjectNode record = Json.mapper().createObjectNode();
    ObjectNode generations = record.putObject("generations");
    markers.forEach((id, marker) -> generations.putObject(id).put("marker", marker));
    record.set("runsByKey", Json.mapper().valueToTree(runs));
    return response.sendString(Mono.just(record.toString()));
  }

  private static JsonNode parse(byte[] bytes) {
    try {
      return Json.mapper().readTree(new String(bytes, StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
