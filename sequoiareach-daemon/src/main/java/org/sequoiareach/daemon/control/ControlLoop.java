package org.sequoiareach.daemon.control;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.reducer.Reducer;
import org.sequoiareach.platform.time.MonotonicClock;

/** Applies events to the reducer, one at a time, on the control thread. */
public final class ControlLoop implements EventSink, AutoCloseable {

  /** The period of ticks. */
  private static final long TICK_MS = 50;

  private static final Logger LOGGER = LogManager.getLogger(ControlLoop.class);

  private final Reducer reducer;
  private final List<EffectHandler> handlers;
  private final Timer eventTimer;
  private final ScheduledThreadPoolExecutor executor;

  /**
   * Creates a loop that is not started.
   *
   * @param reducer the reducer; used on the control thread alone
   * @param handlers those who perform effects; each is offered every effect
   * @param metrics the registry for the loop's metrics
   */
  public ControlLoop(Reducer reducer, List<EffectHandler> handlers, MetricRegistry metrics) {
    this.reducer = reducer;
    this.handlers = List.copyOf(handlers);
    this.eventTimer = metrics.timer("control.event");
    this.executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "control"));
    this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /** Starts the ticks. */
  public void start() {
    executor.scheduleWithFixedDelay(
        () -> apply(new TimeEvent.Ticked(MonotonicClock.nowMs())),
        0,
        TICK_MS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void post(Event event) {
    if (!executor.isShutdown()) {
      executor.execute(() -> apply(event));
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private void apply(Event event) {
    Timer.Context timing = eventTimer.time();
    try {
      for (Effect effect : reducer.apply(event)) {
        perform(effect);
      }
    } catch (RuntimeException e) {
      LOGGER.error("The reducer failed on {}.", event, e);
    } finally {
      timing.stop();
    }
  }

  private void perform(Effect effect) {
    for (EffectHandler handler : handlers) {
      try {
        handler.handle(effect);
      } catch (RuntimeException e) {
        LOGGER.error("Effect {} failed.", effect, e);
      }
    }
  }
}
