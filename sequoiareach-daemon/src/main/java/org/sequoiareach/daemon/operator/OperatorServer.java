package org.sequoiareach.daemon.operator;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import org.sequoiareach.daemon.control.DecisionLog;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.json.Json;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** Listens for operators and the platform's balancer. */
public final class OperatorServer {

  private final ReadinessFlag readiness;
  private final Supplier<DaemonStatus> status;
  private final DecisionLog decisions;
  private final MetricRegistry metrics;
  private final ObjectMapper metricsMapper;

  /**
   * Creates a server that is not started.
   *
   * @param readiness whether the daemon takes callers
   * @param status gives the daemon's status
   * @param decisions the kept decisions
   * @param metrics the metrics to show
   */
  public OperatorServer(
      ReadinessFlag readiness,
      Supplier<DaemonStatus> status,
      DecisionLog decisions,
      MetricRegistry metrics) {
    this.readiness = readiness;
    this.status = status;
    this.decisions = decisions;
    this.metrics = metrics;
    this.metricsMapper =
        Json.mapper()
            .copy()
            .registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));
  }

  /**
   * Starts listening.
   *
   * @param traffic the threads to use
   * @param address where to listen
   * @return the running server
   */
  public DisposableServer start(LoopResources traffic, InetSocketAddress address) {
    return HttpServer.create()
        .runOn(traffic, false)
        .bindAddress(() -> address)
        .route(
            routes ->
                routes
                    .get("/healthz", (request, response) -> text(response, "ok"))
                    .get("/readyz", (request, response) -> ready(response))
                    .get("/metrics", (request, response) -> json(response, metricsMapper, metrics))
                    .get("/status", (request, response) -> json(response, status.get()))
                    .get(
                        "/explain/{request}",
                        (request, response) -> explain(response, request.param("request"))))
        .bindNow();
  }

  private Publisher<Void> ready(HttpServerResponse response) {
    if (readiness.isReady()) {
      return text(response, "ready");
    }
    return text(response.status(HttpResponseStatus.SERVICE_UNAVAILABLE), readiness.reason());
  }

  private Publisher<Void> explain(HttpServerResponse response, String requestId) {
    List<Effect.LogDecision> found = decisions.list(String.valueOf(requestId));
    if (found.isEmpty()) {
      response.status(HttpResponseStatus.NOT_FOUND);
    }
    return json(response, found);
  }

  private static Publisher<Void> text(HttpServerResponse response, String text) {
    return response.header("Content-Type", "text/plain").sendString(Mono.just(text + "\n"));
  }

  private static Publisher<Void> json(HttpServerResponse response, Object value) {
    return json(response, Json.mapper(), value);
  }

  private static Publisher<Void> json(
      HttpServerResponse response, ObjectMapper mapper, Object value) {
    try {
      byte[] bytes = mapper.writeValueAsBytes(value);
      return response.header("Content-Type", "application/json").sendByteArray(Mono.just(bytes));
    } catch (JsonProcessingException e) {
      response.status(HttpResponseStatus.INTERNAL_SERVER_ERROR);
      return text(response, String.valueOf(e.getMessage()));
    }
  }
}
