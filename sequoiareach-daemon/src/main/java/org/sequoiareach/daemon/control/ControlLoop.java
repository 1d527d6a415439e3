package org.sequoiareach.daemon.control;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.reducer.Reducer;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * The event loop of the reducer: it applies events one at a time on the control thread and passes
 * the resulting effects to the handlers. Thread-safe.
 */
public final class ControlLoop implements EventSink, AutoCloseable {

  private static final long TICK_PERIOD_MS = 50;

  private static final Logger LOGGER = LogManager.getLogger(ControlLoop.class);

  private final Timer eventTimer;
  private final CountDownLatch started = new CountDownLatch(1);
  private final ScheduledThreadPoolExecutor executor;
  private Reducer reducer;
  private List<EffectHandler> handlers = List.of();

  /**
   * Creates a loop that is not started. Events posted earlier are applied after the start.
   *
   * @param metrics the registry for the metrics of the loop
   */
  public ControlLoop(MetricRegistry metrics) {
    this.eventTimer = metrics.timer("control.event");
    this.executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "control"));
    this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    this.executor.execute(this::awaitStart);
  }

  /**
   * Starts applying events and posting ticks.
   *
   * @param newReducer the reducer, used only on the control thread
   * @param newHandlers the handlers of effects; each handler receives every effect
   */
  public void start(Reducer newReducer, List<EffectHandler> newHandlers) {
    this.reducer = newReducer;
    this.handlers = List.copyOf(newHandlers);
    started.countDown();
    executor.scheduleWithFixedDelay(
        () -> apply(new TimeEvent.Ticked(MonotonicClock.nowMs())),
        0,
        TICK_PERIOD_MS,
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

  private void awaitStart() {
    try {
      started.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void apply(Event event) {
    Timer.Context timing = eventTimer.time();
    try {
      for (Effect effect : reducer.apply(event)) {
        perform(effect);
      }
    } catch (RuntimeException e) {
      LOGGER.error("The reducer failed to apply event {}.", event, e);
    } finally {
      timing.stop();
    }
  }

  private void perform(Effect effect) {
    for (EffectHandler handler : handlers) {
      try {
        handler.handle(effect);
      } catch (RuntimeException e) {
        LOGGER.error("A handler failed to perform effect {}.", effect, e);
      }
    }
  }
}
