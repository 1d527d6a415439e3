package org.sequoiareach.daemon.exchange;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.daemon.dialect.EngineControl;
import org.sequoiareach.daemon.front.CallAnswer;
import org.sequoiareach.daemon.front.CallReceiver;
import org.sequoiareach.daemon.upstream.TargetConnections;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.store.time.MonotonicClock;

/** Holds the requests in progress and performs what is decided on them. Thread-safe. */
public final class ExchangeTable implements CallReceiver, EffectHandler {

  /** A report that takes longer says nothing any more. */
  private static final long REPORT_TIMEOUT_MS = 600;

  private final ExchangeContext context;
  private final EngineControl engines;
  private final Map<String, Exchange> exchanges = new HashMap<>();
  private long sequence;

  /**
   * Creates an empty table.
   *
   * @param dialect translates headers
   * @param connections the connections to targets
   * @param engines gives orders to engines
   * @param events takes what happens
   * @param metrics the registry for latencies
   * @param loop the traffic thread
   */
  public ExchangeTable(
      CallDialect dialect,
      TargetConnections connections,
      EngineControl engines,
      EventSink events,
      MetricRegistry metrics,
      EventLoop loop) {
    this.context =
        new ExchangeContext(dialect, connections, events, metrics, loop, new SuspensionWatch());
    this.engines = engines;
  }

  @Override
  public Runnable receive(
      CallProfile profile, HttpRequest request, ByteBuf body, CallAnswer answer) {
    sequence++;
    String callId = profile.requestId() + "#" + sequence;
    Exchange exchange =
        new Exchange(context, callId, profile, request, body, answer, () -> forget(callId));
    exchanges.put(callId, exchange);
    context.metrics().counter("calls.active").inc();
    context.events().post(new DispatchEvent.CallArrived(MonotonicClock.nowMs(), callId, profile));
    return exchange::callerLeft;
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof DispatchEffect.SendCall send) {
      on(send.callId(), exchange -> exchange.send(send));
    } else if (effect instanceof DispatchEffect.RefuseCall refuse) {
      context.metrics().meter("refused." + refuse.reason().label()).mark();
      on(
          refuse.callId(),
          exchange ->
              exchange.refuse(
                  refuse.verdict(), refuse.reason(), refuse.message(), refuse.retryAfterMs()));
    } else if (effect instanceof DispatchEffect.DeliverHeldAnswer deliver) {
      on(deliver.callId(), Exchange::deliverHeld);
    } else if (effect instanceof DispatchEffect.CutCall cut) {
      context.metrics().meter("cut." + cut.reason().label()).mark();
      on(cut.callId(), Exchange::cut);
    } else if (effect instanceof DispatchEffect.DropTarget drop) {
      context.loop().execute(() -> context.connections().drop(drop.target()));
    } else if (effect instanceof DispatchEffect.CopyRun copy) {
      on(copy.callId(), exchange -> copy(exchange, copy));
    } else if (effect instanceof DispatchEffect.AskReport ask) {
      askReport(ask.target());
    } else if (effect instanceof DispatchEffect.ReleaseCopy release) {
      engines.releaseCopy(release.sourceAddress(), release.handle());
    }
  }

  private void copy(Exchange exchange, DispatchEffect.CopyRun copy) {
    engines
        .copyRun(
            copy.sourceAddress(),
            exchange.requestId(),
            copy.destinationAddress(),
            copy.stop(),
            copy.deadlineMs())
        .thenAccept(
            result ->
                context
                    .events()
                    .post(
                        new DispatchEvent.RunCopied(
                            MonotonicClock.nowMs(),
                            copy.callId(),
                            copy.round(),
                            result.outcome(),
                            result.handle())));
  }

  private void askReport(RoutedTarget target) {
    engines
        .queryState(target.address(), MonotonicClock.nowMs() + REPORT_TIMEOUT_MS)
        .thenAccept(
            state -> {
              long nowMs = MonotonicClock.nowMs();
              switch (state) {
                case LEAVING ->
                    context.events().post(new DispatchEvent.TargetLeaves(nowMs, target.id()));
                case NOBODY_THERE ->
                    context.events().post(new DispatchEvent.NobodyThere(nowMs, target.id()));
                default -> {}
              }
            });
  }

  private void on(String callId, Consumer<Exchange> action) {
    context.loop().execute(() -> Optional.ofNullable(exchanges.get(callId)).ifPresent(action));
  }

  private void forget(String callId) {
    exchanges.remove(callId);
    context.metrics().counter("calls.active").dec();
  }
}
