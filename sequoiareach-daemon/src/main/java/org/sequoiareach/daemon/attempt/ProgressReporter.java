package org.sequoiareach.daemon.attempt;

import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Reports the start of an attempt to the reducer and then its progress after every {@code
 * TOKENS_PER_EVENT} tokens. Used by one subscriber at a time.
 */
final class ProgressReporter {

  private static final int TOKENS_PER_EVENT = 32;

  private final String attemptId;
  private final String targetId;
  private final EventSink events;
  private int tokens;
  private long lastTokenMs;
  private long slowestGapMs;

  ProgressReporter(String attemptId, String targetId, EventSink events) {
    this.attemptId = attemptId;
    this.targetId = targetId;
    this.events = events;
  }

  void onPart(AnswerPart part) {
    if (part instanceof AnswerPart.End) {
      return;
    }
    long nowMs = MonotonicClock.nowMs();
    if (lastTokenMs == 0) {
      lastTokenMs = nowMs;
      events.post(new RequestEvent.AttemptStarted(nowMs, attemptId, targetId));
    }
    if (part instanceof AnswerPart.Data data) {
      reportProgress(nowMs, data);
    }
  }

  private void reportProgress(long nowMs, AnswerPart.Data data) {
    slowestGapMs = Math.max(slowestGapMs, nowMs - lastTokenMs);
    lastTokenMs = nowMs;
    tokens = (int) data.sequence();
    if (tokens % TOKENS_PER_EVENT == 0) {
      events.post(new RequestEvent.AttemptProgressed(nowMs, attemptId, tokens, slowestGapMs));
      slowestGapMs = 0;
    }
  }
}
