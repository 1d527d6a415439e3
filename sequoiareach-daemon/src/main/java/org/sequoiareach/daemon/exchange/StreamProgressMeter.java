package org.sequoiareach.daemon.exchange;

import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.dispatch.StreamEvent;

/**
 * Reports how fast the events of a generation are received: about once a second and at its end,
 * because a report of each event would cost more than it tells.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class StreamProgressMeter {

  private static final long REPORT_INTERVAL_MS = 1_000;

  /** Fewer events tell too little of the speed of an engine; short generations report nothing. */
  private static final int MIN_EVENTS = 4;

  private final String callId;
  private final EventSink events;
  private int attempt;
  private int count;
  private long sinceMs;
  private long lastMs;

  StreamProgressMeter(String callId, EventSink events) {
    this.callId = callId;
    this.events = events;
  }

  /** Counts an event. The first one of an attempt only marks the beginning of the measurement. */
  void onEvent(long nowMs, int ofAttempt) {
    if (attempt != ofAttempt) {
      attempt = ofAttempt;
      restart(nowMs);
      return;
    }
    count++;
    lastMs = nowMs;
    if (nowMs - sinceMs >= REPORT_INTERVAL_MS) {
      report();
    }
  }

  /** Reports the events since the last report, unless they are few. */
  void report() {
    if (count >= MIN_EVENTS) {
      events.post(
          new StreamEvent.StreamProgressed(lastMs, callId, attempt, count, lastMs - sinceMs));
      restart(lastMs);
    }
  }

  private void restart(long nowMs) {
    count = 0;
    sinceMs = nowMs;
    lastMs = nowMs;
  }
}
