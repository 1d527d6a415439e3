package org.sequoiareach.standin.server;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import org.reactivestreams.Publisher;
import org.sequoiareach.model.Check;
import org.sequoiareach.standin.fault.FaultSwitches;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Base class of stand-ins that serve HTTP.
 *
 * <p>Serves {@code GET /healthz}, {@code GET /record} and {@code GET}/{@code PUT /faults}
 * regardless of the fault switches, and delegates all other requests to the subclass. Thread-safe.
 *
 * @param <F> the record type of the fault switches
 */
public abstract class AbstractHttpStandin<F> implements Standin {

  /** Long, because a stop takes seconds on a busy machine, where 3 s failed a test. */
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

  private final InetSocketAddress listen;
  private final FaultSwitches<F> faults;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private DisposableServer server;

  /**
   * Creates a stand-in without starting it.
   *
   * @param listen the IP address and port to listen on
   * @param faults the fault switches
   */
  protected AbstractHttpStandin(String listen, FaultSwitches<F> faults) {
    this.listen = Addresses.parse(listen);
    this.faults = Check.notNull(faults, "faults");
  }

  @Override
  public synchronized InetSocketAddress start() {
    if (server != null) {
      throw new IllegalStateException("The stand-in has already been started.");
    }
    server =
        HttpServer.create()
            .runOn(EventLoops.shared(), false)
            .bindAddress(() -> listen)
            .doOnChannelInit((observer, channel, remote) -> connections.add(channel))
            .handle(this::route)
            .bindNow();
    onStart();
    return (InetSocketAddress) server.address();
  }

  @Override
  public synchronized void close() {
    if (server == null || server.isDisposed()) {
      return;
    }
    onClose();
    server.disposeNow(STOP_TIMEOUT);
    closeConnections();
  }

  /**
   * Returns the current fault switches.
   *
   * @return the switches
   */
  public final F faults() {
    return faults.get();
  }

  /**
   * Replaces all fault switches.
   *
   * @param switches the new switches
   */
  public final void setFaults(F switches) {
    faults.set(switches);
    onFaults(switches);
  }

  /**
   * Returns the record that {@code GET /record} serves.
   *
   * @return a value that can be serialized as JSON
   */
  public abstract Object record();

  /**
   * Handles a request.
   *
   * @param request the request
   * @param response the response
   * @return a publisher that completes when the response was sent
   */
  protected abstract Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response);

  /**
   * Called after the fault switches were replaced. The default does nothing.
   *
   * @param switches the new switches
   */
  protected void onFaults(F switches) {}

  /**
   * Returns whether the stand-in reports itself as healthy. The default is always true.
   *
   * @return whether {@code GET /healthz} responds with status 200
   */
  protected boolean healthy() {
    return true;
  }

  /** Called after the stand-in has started to listen. The default does nothing. */
  protected void onStart() {}

  /** Called before the stand-in stops. The default does nothing. */
  protected void onClose() {}

  /** Closes all connections without completing pending responses. */
  protected final void closeConnections() {
    connections.close().awaitUninterruptibly(STOP_TIMEOUT.toMillis());
  }

  private Publisher<Void> route(HttpServerRequest request, HttpServerResponse response) {
    Flux<Void> answer = Flux.defer(() -> dispatch(request, response));
    return answer.onErrorResume(
        exception -> {
          int status = exception instanceof IllegalArgumentException ? 400 : 500;
          return Exchanges.error(response, status, exception.toString());
        });
  }

  private Publisher<Void> dispatch(HttpServerRequest request, HttpServerResponse response) {
    String call = request.method().name() + " " + request.fullPath();
    return switch (call) {
      case "GET /healthz" ->
          healthy()
              ? Exchanges.json(response, 200, Map.of("status", "ok"))
              : Exchanges.json(response, 503, Map.of("status", "dead"));
      case "GET /record" -> Exchanges.json(response, 200, record());
      case "GET /faults" -> Exchanges.json(response, 200, faults.get());
      case "PUT /faults" ->
          Exchanges.bodyText(request).flatMap(text -> replaceFaults(text, response));
      default -> handle(request, response);
    };
  }

  /** Replaces the switches outside the event loops, as some of them block to close connections. */
  private Mono<Void> replaceFaults(String text, HttpServerResponse response) {
    return Mono.fromRunnable(() -> setFaults(faults.parse(text)))
        .subscribeOn(Schedulers.boundedElastic())
        .then(Mono.defer(() -> Mono.from(Exchanges.json(response, 200, faults.get()))));
  }
}
