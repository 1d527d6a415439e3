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

/** Polls the load of the engines that this daemon owns at a fixed period. Thread-safe. */
public final class LoadPoller implements EffectHandler {

  private static final long PERIOD_MS = 500;

  private final EngineClient engines;
  private final EventSink events;
  private final ScheduledExecutorService timer;
  private final Set<String> pending = ConcurrentHashMap.newKeySet();
  private volatile Map<String, String> addresses = Map.of();

  /**
   * Creates a poller that is not started.
   *
   * @param engines the client of engines
   * @param events receives events for the reducer
   * @param timer schedules the polls
   */
  public LoadPoller(EngineClient engines, EventSink events, ScheduledExecutorService timer) {
    this.engines = engines;
    this.events = events;
    this.timer = timer;
  }

  /** Starts polling. */
  public void start() {
    timer.scheduleWithFixedDelay(this::pollAll, 0, PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.PollLoads poll) {
      addresses = poll.addresses();
    }
  }

  private void pollAll() {
    addresses.forEach(this::poll);
  }

  private void poll(String targetId, String address) {
    if (!pending.add(targetId)) {
      return;
    }
    engines
        .load(address)
        .doFinally(signal -> pending.remove(targetId))
        .subscribe(
            load ->
                events.post(new PlatformEvent.LoadReported(MonotonicClock.nowMs(), targetId, load)),
            thrown -> events.post(new PlatformEvent.LoadFailed(MonotonicClock.nowMs(), targetId)));
  }
}
