package org.sequoiareach.standin.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.platform.EngineLoad;
import org.sequoiareach.standin.fault.FaultSwitches;
import org.sequoiareach.standin.server.AbstractHttpStandin;
import org.sequoiareach.standin.server.Exchanges;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Simulates an inference engine with continuous batching, a limited KV cache and a prefix cache.
 *
 * <p>The text of the n-th token of a generation is {@code "{marker}:{n} "}. The marker is taken
 * from {@code metadata.marker} and defaults to a digest of the messages. The id of the event of the
 * n-th token is n, and the event with the finish reason has the next id. The connection of a stream
 * is closed if its generation fails or is cancelled, and so is every connection to an engine that
 * is down. Thread-safe.
 */
public final class EngineStandin extends AbstractHttpStandin<EngineFaults> {

  private static final String COMPLETIONS = "/v1/chat/completions";
  private static final Duration CACHE_EVENT_PERIOD = Duration.ofMillis(20);

  private final EngineRunner runner;
  private final CompletionResponseWriter writer = new CompletionResponseWriter();
  private final Flux<CacheEvent> cacheEvents;

  /**
   * Creates a stand-in without starting it.
   *
   * @param settings the settings
   */
  public EngineStandin(EngineSettings settings) {
    super(settings.listen(), new FaultSwitches<>(EngineFaults.class, EngineFaults.NONE));
    this.runner = new EngineRunner(settings);
    this.cacheEvents =
        Flux.interval(CACHE_EVENT_PERIOD)
            .onBackpressureDrop()
            .concatMapIterable(
                tick ->
                    runner.execute(simulator -> simulator.drainCacheEvents(EngineRunner.nowMs())))
            .publish()
            .refCount();
  }

  @Override
  public EngineRecord record() {
    return runner.execute(
        simulator -> {
          simulator.advance(EngineRunner.nowMs());
          return simulator.toRecord();
        });
  }

  /**
   * Returns the load that {@code GET /load} currently reports.
   *
   * @return the load, delayed by the configured lag
   */
  public EngineLoad load() {
    return runner.execute(simulator -> simulator.load(EngineRunner.nowMs()));
  }

  @Override
  protected void onFaults(EngineFaults switches) {
    boolean down =
        runner.execute(
            simulator -> {
              simulator.setFaults(switches, EngineRunner.nowMs());
              return simulator.isDown();
            });
    if (down) {
      runner.disconnectAll();
    }
  }

  @Override
  protected void onClose() {
    runner.stop();
  }

  @Override
  protected boolean healthy() {
    return !runner.execute(EngineSimulator::isDown);
  }

  @Override
  protected Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    if (!healthy()) {
      return Exchanges.drop(request);
    }
    String path = request.fullPath();
    String call = request.method().name() + " " + path;
    if (path.startsWith(COMPLETIONS + "/")) {
      return handleGeneration(path.substring(COMPLETIONS.length() + 1), request, response);
    }
    return switch (call) {
      case "POST " + COMPLETIONS ->
          Exchanges.bodyText(request)
              .flatMap(
                  text -> Mono.from(createCompletion(Exchanges.parse(text), request, response)));
      case "POST /orders" ->
          Exchanges.bodyText(request).flatMap(text -> Mono.from(applyOrder(text, response)));
      case "GET /load" -> Exchanges.json(response, 200, load());
      case "GET /cache-events" ->
          sendEvents(
              cacheEvents.map(e -> "data: " + Exchanges.write(e) + "\n\n"), request, response);
      default -> Exchanges.error(response, 404, "No handler for " + call + ".");
    };
  }

  private Publisher<Void> createCompletion(
      JsonNode body, HttpServerRequest request, HttpServerResponse response) {
    GenerationRequest parsed = CompletionRequestParser.parse(request, body);
    SubmissionResult result =
        runner.execute(simulator -> simulator.submit(parsed, EngineRunner.nowMs()));
    if (result == SubmissionResult.DOWN) {
      return Exchanges.drop(request);
    }
    if (result != SubmissionResult.ACCEPTED) {
      return Exchanges.error(response, result.status(), result.message());
    }
    Optional<Generation> created = find(parsed.id());
    if (created.isEmpty()) {
      return Exchanges.drop(request);
    }
    if (body.path("stream").asBoolean()) {
      int dropAfterTokens = faults().dropConnectionAfterTokens();
      return stream(created.get(), 0, dropAfterTokens, request, response);
    }
    Mono<ObjectNode> completion =
        Mono.create(sink -> runner.observe(new WholeResponseObserver(created.get(), writer, sink)));
    return completion
        .flatMap(answer -> Mono.from(Exchanges.json(response, 200, answer)))
        .onErrorResume(e -> Mono.from(Exchanges.drop(request)));
  }

  private Publisher<Void> handleGeneration(
      String id, HttpServerRequest request, HttpServerResponse response) {
    return switch (request.method().name()) {
      case "GET" ->
          find(id)
              .map(found -> stream(found, lastEventId(request), 0, request, response))
              .orElseGet(
                  () -> Exchanges.error(response, 404, "Generation " + id + " does not exist."));
      case "DELETE" -> {
        boolean found = runner.execute(simulator -> simulator.cancel(id, EngineRunner.nowMs()));
        yield response.status(found ? 204 : 404).send();
      }
      default ->
          Exchanges.error(
              response, 405, "Method " + request.method() + " is not allowed; use GET or DELETE.");
    };
  }

  private Publisher<Void> applyOrder(String text, HttpServerResponse response) {
    try {
      EngineOrder order = Json.mapper().readValue(text, EngineOrder.class);
      boolean accepted = runner.execute(simulator -> simulator.order(order, EngineRunner.nowMs()));
      return accepted
          ? Exchanges.json(response, 200, order)
          : Exchanges.error(response, 409, "Fencing token " + order.fence() + " is outdated.");
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e.getOriginalMessage(), e);
    }
  }

  private Optional<Generation> find(String id) {
    return runner.execute(simulator -> simulator.find(id, EngineRunner.nowMs()));
  }

  private Publisher<Void> stream(
      Generation generation,
      int sent,
      int dropAfterTokens,
      HttpServerRequest request,
      HttpServerResponse response) {
    Flux<String> events = Flux.create(sink -> observe(sink, generation, sent, dropAfterTokens));
    return sendEvents(events, request, response);
  }

  private void observe(
      FluxSink<String> sink, Generation generation, int sent, int dropAfterTokens) {
    runner.observe(new StreamingObserver(generation, writer, sink, sent, dropAfterTokens));
    sink.onRequest(n -> runner.deliverNow());
  }

  private static Publisher<Void> sendEvents(
      Flux<String> events, HttpServerRequest request, HttpServerResponse response) {
    Flux<ByteBuf> sent =
        events
            .map(text -> Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
            .onErrorResume(e -> Exchanges.dropStream(request));
    return response.sse().send(sent, buffer -> true);
  }

  private static int lastEventId(HttpServerRequest request) {
    String text = request.requestHeaders().get("Last-Event-ID");
    try {
      return text == null ? 0 : Integer.parseInt(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(
          "'Last-Event-ID' must be a number, but was '" + text + "'.", e);
    }
  }
}
