package org.sequoiareach.daemon.platform;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.event.BudgetEvent;
import org.sequoiareach.store.time.MonotonicClock;

/** Reports the current budget day (UTC) to the reducer at the start and at each midnight. */
public final class DayTimer {

  private final Clock clock;
  private final EventSink events;
  private final ScheduledExecutorService timer;

  /**
   * Creates a timer that is not started.
   *
   * @param clock the wall clock
   * @param events receives events for the reducer
   * @param timer schedules the next report
   */
  public DayTimer(Clock clock, EventSink events, ScheduledExecutorService timer) {
    this.clock = clock;
    this.events = events;
    this.timer = timer;
  }

  /** Reports the current day and schedules a report for each following day. */
  public void start() {
    Instant now = clock.instant();
    LocalDate day = LocalDate.ofInstant(now, ZoneOffset.UTC);
    Instant end = day.plusDays(1).atStartOfDay(ZoneOffset.UTC).toInstant();
    long remainingMs = Math.max(1, Duration.between(now, end).toMillis());
    long nowMs = MonotonicClock.nowMs();
    events.post(new BudgetEvent.DayBegan(nowMs, day.toString(), nowMs + remainingMs));
    timer.schedule(this::start, remainingMs, TimeUnit.MILLISECONDS);
  }
}
