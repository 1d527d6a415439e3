package org.sequoiareach.daemon.platform;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.daemon.target.EngineClient;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.store.time.MonotonicClock;

/** Asks the engines that this daemon owns for their load, at a steady period. */
public final class LoadPoller implements EffectHandler {

  private static final long PERIOD_MS = 500;

  private final EngineClient engines;
  private final EventSink events;
  private final ScheduledExecutorService timer;
  private final Set<String> asking = ConcurrentHashMap.newKeySet();
  private volatile Map<String, String> addresses = Map.of();

  /**
   * Creates a poller that is not started.
   *
   * @param engines the client of engines
   * @param events the reducer's sink
   * @param timer runs the period
   */
  public LoadPoller(EngineClient engines, EventSink events, ScheduledExecutorService timer) {
    this.engines = engines;
    this.events = events;
    this.timer = timer;
  }

  /** Starts the period. */
  public void start() {
    timer.scheduleWithFixedDelay(this::askAll, 0, PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.PollLoads poll) {
      addresses = poll.addresses();
    }
  }

  private void askAll() {
    addresses.forEach(this::ask);
  }

  private void ask(String targetId, String address) {
    if (!asking.add(targetId)) {
      return;
    }
    engines
        .load(address)
        .doFinally(signal -> asking.remove(targetId))
        .subscribe(
            load ->
                events.post(new PlatformEvent.LoadReported(MonotonicClock.nowMs(), targetId, load)),
            thrown -> events.post(new PlatformEvent.LoadFailed(MonotonicClock.nowMs(), targetId)));
  }
}
