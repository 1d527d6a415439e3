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

/**
 * The HTTP server for operators and the platform's load balancer: health, readiness, metrics,
 * status and explanations of decisions.
 */
public final class OperatorServer {

  private final ReadinessFlag readiness;
  private final Supplier<DaemonStatus> status;
  private final DecisionLog decisions;
  private final MetricRegistry metrics;
  private final ObjectMapper metricsMapper;

  /**
   * Creates a server that is not started.
   *
   * @param readiness whether the daemon accepts requests of callers
   * @param status supplies the status of the daemon
   * @param decisions the latest decisions
   * @param metrics the metrics to report
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
   * @param eventLoops the event loops that serve connections
   * @param address the address to listen on
   * @return the running server
   */
  public DisposableServer start(LoopResources eventLoops, InetSocketAddress address) {
    return HttpServer.create()
        .runOn(eventLoops, false)
        .bindAddress(() -> address)
        .route(
            routes ->
                routes
                    .get("/healthz", (request, response) -> writeText(response, "ok"))
                    .get("/readyz", (request, response) -> writeReadiness(response))
                    .get(
                        "/metrics",
                        (request, response) -> writeJson(response, metricsMapper, metrics))
                    .get("/status", (request, response) -> writeJson(response, status.get()))
                    .get(
                        "/explain/{request}",
                        (request, response) -> writeDecisions(response, request.param("request"))))
        .bindNow();
  }

  private Publisher<Void> writeReadiness(HttpServerResponse response) {
    if (readiness.isReady()) {
      return writeText(response, "ready");
    }
    return writeText(response.status(HttpResponseStatus.SERVICE_UNAVAILABLE), readiness.reason());
  }

  private Publisher<Void> writeDecisions(HttpServerResponse response, String requestId) {
    List<Effect.LogDecision> found = decisions.findByRequest(String.valueOf(requestId));
    if (found.isEmpty()) {
      response.status(HttpResponseStatus.NOT_FOUND);
    }
    return writeJson(response, found);
  }

  private static Publisher<Void> writeText(HttpServerResponse response, String text) {
    return response.header("Content-Type", "text/plain").sendString(Mono.just(text + "\n"));
  }

  private static Publisher<Void> writeJson(HttpServerResponse response, Object value) {
    return writeJson(response, Json.mapper(), value);
  }

  private static Publisher<Void> writeJson(
      HttpServerResponse response, ObjectMapper mapper, Object value) {
    try {
      byte[] bytes = mapper.writeValueAsBytes(value);
      return response.header("Content-Type", "application/json").sendByteArray(Mono.just(bytes));
    } catch (JsonProcessingException e) {
      response.status(HttpResponseStatus.INTERNAL_SERVER_ERROR);
      return writeText(response, String.valueOf(e.getMessage()));
    }
  }
}
