package org.sequoiareach.daemon.exchange;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.daemon.dialect.EngineControl;
import org.sequoiareach.daemon.front.RequestHandler;
import org.sequoiareach.daemon.front.ResponseWriter;
import org.sequoiareach.daemon.memory.HeldBytes;
import org.sequoiareach.daemon.upstream.TargetConnectionManager;
import org.sequoiareach.decision.dispatch.AvailabilityEvent;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.dispatch.HedgeEvent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Tracks the requests in progress and performs the effects that concern them.
 *
 * <p>Requests are received on the event loop; effects may be handled on any thread and are
 * forwarded to the event loop.
 */
public final class ProxyExchangeRegistry implements RequestHandler, EffectHandler {

  /** Engine states that arrive later than this are outdated. */
  private static final long ENGINE_STATE_TIMEOUT_MS = 600;

  private final ProxyExchangeContext context;
  private final EngineControl engines;
  private final Map<String, ProxyExchange> exchanges = new HashMap<>();
  private long callSequence;

  /**
   * Creates an empty registry.
   *
   * @param dialect translates HTTP headers
   * @param connections the pooled connections to targets
   * @param engines the client for the control operations of engines
   * @param events receives the events of requests and targets
   * @param metrics the registry for counters and latencies
   * @param loop the event loop that all exchanges run on
   * @param responseMemory limits what is held of incomplete events and responses
   */
  public ProxyExchangeRegistry(
      CallDialect dialect,
      TargetConnectionManager connections,
      EngineControl engines,
      EventSink events,
      MetricRegistry metrics,
      EventLoop loop,
      HeldBytes responseMemory) {
    this.context =
        new ProxyExchangeContext(
            dialect,
            connections,
            events,
            metrics,
            loop,
            new SuspensionDetector(),
            new HashSet<>(),
            responseMemory);
    this.engines = engines;
  }

  @Override
  public Runnable handleRequest(
      CallProfile profile, HttpRequest request, ByteBuf body, ResponseWriter response) {
    callSequence++;
    String callId = profile.requestId() + "#" + callSequence;
    ProxyExchange exchange =
        new ProxyExchange(context, callId, profile, request, body, response, () -> remove(callId));
    exchanges.put(callId, exchange);
    context.metrics().counter("calls.active").inc();
    Optional<String> content = Optional.of(ContentIdentity.of(request, body));
    context
        .events()
        .post(new DispatchEvent.CallArrived(MonotonicClock.nowMs(), callId, profile, content));
    return exchange::onCallerDisconnected;
  }

  @Override
  public void onResponsesUnsent(boolean unsent) {
    context.events().post(new DispatchEvent.AnswersUnsent(MonotonicClock.nowMs(), unsent));
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof DispatchEffect.SendCall send) {
      withExchange(send.callId(), exchange -> exchange.send(send));
    } else if (effect instanceof DispatchEffect.HedgeCall hedge) {
      withExchange(hedge.send().callId(), exchange -> exchange.sendHedge(hedge.send()));
    } else if (effect instanceof DispatchEffect.RecordHedge hedge) {
      context.metrics().meter("hedges." + hedge.outcome()).mark();
    } else if (effect instanceof DispatchEffect.WakeAt wake) {
      wakeAt(wake.atMs());
    } else if (effect instanceof DispatchEffect.RefuseCall refuse) {
      context.metrics().meter("refused." + refuse.reason().label()).mark();
      withExchange(
          refuse.callId(),
          exchange ->
              exchange.refuse(
                  refuse.verdict(), refuse.reason(), refuse.message(), refuse.retryAfterMs()));
    } else if (effect instanceof DispatchEffect.DeliverHeldAnswer deliver) {
      withExchange(deliver.callId(), ProxyExchange::deliverHeldResponse);
    } else if (effect instanceof DispatchEffect.CutCall cut) {
      context.metrics().meter("cut." + cut.reason().label()).mark();
      withExchange(cut.callId(), exchange -> exchange.abort(cut.reason()));
    } else if (effect instanceof DispatchEffect.DropTarget drop) {
      context.loop().execute(() -> context.connections().retire(drop.target()));
    } else if (effect instanceof DispatchEffect.ProbeTarget probe) {
      context.loop().execute(() -> probe(probe.target()));
    } else if (effect instanceof DispatchEffect.WatchRate watch) {
      context.loop().execute(() -> watchRate(watch));
    } else if (effect instanceof DispatchEffect.CopyRun copy) {
      withExchange(copy.callId(), exchange -> copyRun(exchange, copy));
    } else if (effect instanceof DispatchEffect.AskReport ask) {
      queryState(ask.target());
    } else if (effect instanceof DispatchEffect.ReleaseCopy release) {
      engines.releaseCopy(release.sourceAddress(), release.handle());
    }
  }

  private void wakeAt(long atMs) {
    context
        .loop()
        .schedule(
            () -> context.events().post(new HedgeEvent.WakeUp(MonotonicClock.nowMs())),
            Math.max(0, atMs - MonotonicClock.nowMs()),
            TimeUnit.MILLISECONDS);
  }

  private void probe(RoutedTarget target) {
    context
        .connections()
        .probe(
            target,
            outcome ->
                context
                    .events()
                    .post(
                        new DispatchEvent.TargetProbed(
                            MonotonicClock.nowMs(), target.id(), outcome)));
  }

  private void watchRate(DispatchEffect.WatchRate watch) {
    if (watch.watched()) {
      context.rateWatch().add(watch.targetId());
    } else {
      context.rateWatch().remove(watch.targetId());
    }
  }

  private void copyRun(ProxyExchange exchange, DispatchEffect.CopyRun copy) {
    Consumer<EngineControl.CopyResult> stopListener =
        copy.stop() ? exchange.onStopOrdered(copy.sourceAddress()) : result -> {};
    engines
        .copyRun(
            copy.sourceAddress(),
            exchange.requestId(),
            copy.destinationAddress(),
            copy.stop(),
            copy.deadlineMs())
        .thenAcceptAsync(result -> onRunCopied(copy, result, stopListener), context.loop());
  }

  private void onRunCopied(
      DispatchEffect.CopyRun copy,
      EngineControl.CopyResult result,
      Consumer<EngineControl.CopyResult> stopListener) {
    // A stream that ended while the order was under way is decided on before the copy is used.
    stopListener.accept(result);
    context
        .events()
        .post(
            new DispatchEvent.RunCopied(
                MonotonicClock.nowMs(),
                copy.callId(),
                copy.round(),
                result.outcome(),
                result.handle()));
  }

  private void queryState(RoutedTarget target) {
    engines
        .queryState(target.address(), MonotonicClock.nowMs() + ENGINE_STATE_TIMEOUT_MS)
        .thenAccept(
            report -> {
              long nowMs = MonotonicClock.nowMs();
              if (report.retryAfterMs() > 0) {
                context
                    .events()
                    .post(
                        new DispatchEvent.BackoffRequested(
                            nowMs, target.id(), nowMs + report.retryAfterMs(), "report"));
              }
              report
                  .coldMs()
                  .ifPresent(
                      coldMs ->
                          context
                              .events()
                              .post(new AvailabilityEvent.ColdStated(nowMs, target, coldMs)));
              switch (report.state()) {
                case LEAVING ->
                    context.events().post(new DispatchEvent.TargetLeaves(nowMs, target.id()));
                case NOBODY_THERE ->
                    context.events().post(new DispatchEvent.NobodyThere(nowMs, target.id()));
                case INVALID -> onReportInvalid(nowMs, target.id());
                default -> {}
              }
            });
  }

  private void onReportInvalid(long nowMs, String targetId) {
    context.metrics().meter("reports.invalid").mark();
    context.events().post(new AvailabilityEvent.ReportInvalid(nowMs, targetId));
  }

  private void withExchange(String callId, Consumer<ProxyExchange> action) {
    context.loop().execute(() -> Optional.ofNullable(exchanges.get(callId)).ifPresent(action));
  }

  private void remove(String callId) {
    exchanges.remove(callId);
    context.metrics().counter("calls.active").dec();
  }
}
