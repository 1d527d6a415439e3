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
 * Stands in for a model engine with continuous batching, limited memory and a prefix cache.
 *
 * <p>The text of the n-th token of a generation is {@code "{marker}:{n} "}, with the marker from
 * {@code metadata.marker} or else a digest of the messages. The id of its event is n; the event
 * with the finish reason has the id after the last token. A stream whose generation dies or is
 * cancelled loses its connection; so does every call to a dead engine. Thread-safe.
 */
public final class EngineStandin extends AbstractHttpStandin<EngineFaults> {

  private static final String COMPLETIONS = "/v1/chat/completions";
  private static final Duration CACHE_EVENT_PERIOD = Duration.ofMillis(20);

  private final EngineRunner runner;
  private final AnswerWriter writer = new AnswerWriter();
  private final Flux<CacheEvent> cacheEvents;

  /**
   * Creates a stand-in that is not started.
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
                tick -> runner.call(model -> model.drainCacheEvents(EngineRunner.nowMs())))
            .publish()
            .refCount();
  }

  @Override
  public EngineRecord record() {
    return runner.call(
        model -> {
          model.advance(EngineRunner.nowMs());
          return model.toRecord();
        });
  }

  /**
   * Returns the load as {@code GET /load} shows it now.
   *
   * @return the lagged load
   */
  public EngineLoad load() {
    return runner.call(model -> model.load(EngineRunner.nowMs()));
  }

  @Override
  protected void onFaults(EngineFaults switches) {
    boolean dead =
        runner.call(
            model -> {
              model.setFaults(switches, EngineRunner.nowMs());
              return model.isDead();
            });
    if (dead) {
      runner.cutFollowers();
    }
  }

  @Override
  protected void onClose() {
    runner.stop();
  }

  @Override
  protected boolean healthy() {
    return !runner.call(EngineModel::isDead);
  }

  @Override
  protected Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    if (!healthy()) {
      return Exchanges.drop(request);
    }
    String path = request.fullPath();
    String call = request.method().name() + " " + path;
    if (path.startsWith(COMPLETIONS + "/")) {
      return handleOne(path.substring(COMPLETIONS.length() + 1), request, response);
    }
    return switch (call) {
      case "POST " + COMPLETIONS ->
          Exchanges.bodyText(request)
              .flatMap(text -> Mono.from(create(Exchanges.parse(text), request, response)));
      case "POST /orders" ->
          Exchanges.bodyText(request).flatMap(text -> Mono.from(order(text, response)));
      case "GET /load" -> Exchanges.json(response, 200, load());
      case "GET /cache-events" ->
          sendEvents(
              cacheEvents.map(e -> "data: " + Exchanges.write(e) + "\n\n"), request, response);
      default -> Exchanges.error(response, 404, "There is no " + call + ".");
    };
  }

  private Publisher<Void> create(
      JsonNode body, HttpServerRequest request, HttpServerResponse response) {
    CompletionRequest wanted = CompletionReader.read(request, body);
    Admission admission = runner.call(model -> model.submit(wanted, EngineRunner.nowMs()));
    if (admission == Admission.DEAD) {
      return Exchanges.drop(request);
    }
    if (admission != Admission.ACCEPTED) {
      return Exchanges.error(response, admission.status(), admission.message());
    }
    Optional<Generation> created = find(wanted.id());
    if (created.isEmpty()) {
      return Exchanges.drop(request);
    }
    if (body.path("stream").asBoolean()) {
      int dropAfterTokens = faults().dropConnectionAfterTokens();
      return stream(created.get(), 0, dropAfterTokens, request, response);
    }
    Mono<ObjectNode> whole =
        Mono.create(sink -> runner.follow(new WholeFollower(created.get(), writer, sink)));
    return whole
        .flatMap(answer -> Mono.from(Exchanges.json(response, 200, answer)))
        .onErrorResume(e -> Mono.from(Exchanges.drop(request)));
  }

  private Publisher<Void> handleOne(
      String id, HttpServerRequest request, HttpServerResponse response) {
    return switch (request.method().name()) {
      case "GET" ->
          find(id)
              .map(found -> stream(found, lastEventId(request), 0, request, response))
              .orElseGet(() -> Exchanges.error(response, 404, "There is no " + id + "."));
      case "DELETE" -> {
        boolean found = runner.call(model -> model.cancel(id, EngineRunner.nowMs()));
        yield response.status(found ? 204 : 404).send();
      }
      default -> Exchanges.error(response, 405, "Use GET or DELETE.");
    };
  }

  private Publisher<Void> order(String text, HttpServerResponse response) {
    try {
      EngineOrder order = Json.mapper().readValue(text, EngineOrder.class);
      boolean taken = runner.call(model -> model.order(order, EngineRunner.nowMs()));
      return taken
          ? Exchanges.json(response, 200, order)
          : Exchanges.error(response, 409, "A greater fencing number was seen.");
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e.getOriginalMessage(), e);
    }
  }

  private Optional<Generation> find(String id) {
    return runner.call(model -> model.find(id, EngineRunner.nowMs()));
  }

  private Publisher<Void> stream(
      Generation generation,
      int sent,
      int dropAfterTokens,
      HttpServerRequest request,
      HttpServerResponse response) {
    Flux<String> events = Flux.create(sink -> follow(sink, generation, sent, dropAfterTokens));
    return sendEvents(events, request, response);
  }

  private void follow(FluxSink<String> sink, Generation generation, int sent, int dropAfterTokens) {
    runner.follow(new StreamFollower(generation, writer, sink, sent, dropAfterTokens));
    sink.onRequest(n -> runner.pumpNow());
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
      throw new IllegalArgumentException("'Last-Event-ID' is no number.", e);
    }
  }
}
