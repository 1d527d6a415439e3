package org.sequoiareach.daemon.attempt;

import java.util.OptionalLong;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/**
 * Lets parts of an answer pass once, in order, and from a single generation.
 *
 * <p>A part that was seen before is dropped; a gap fails the attempt, so that it is resumed at the
 * right place. Once content was delivered to a caller that sees tokens as they come, parts of any
 * other attempt are dropped. Used by one subscriber at a time.
 */
final class GenerationGuard {

  private final boolean bound;
  private String attemptId = "";
  private long lastSequence;

  /**
   * Creates a guard.
   *
   * @param bound whether the first part binds the answer to its attempt
   */
  GenerationGuard(boolean bound) {
    this.bound = bound;
  }

  /** Returns whether a part may be delivered. */
  synchronized boolean admits(AnswerPart.Data part) {
    if (!part.attemptId().equals(attemptId)) {
      if (bound && lastSequence > 0) {
        return false;
      }
      attemptId = part.attemptId();
      lastSequence = 0;
    }
    if (part.sequence() <= lastSequence) {
      return false;
    }
    if (part.sequence() > lastSequence + 1) {
      throw missing(attemptId, lastSequence + 1);
    }
    lastSequence = part.sequence();
    return true;
  }

  /** Checks that the last part of an attempt was delivered. */
  synchronized void requireEnd(String endedAttemptId, long sequence) {
    if (!endedAttemptId.equals(attemptId) || lastSequence != sequence) {
      throw missing(endedAttemptId, lastSequence + 1);
    }
  }

  /** Returns whether any part was delivered. */
  synchronized boolean hasDelivered() {
    return lastSequence > 0;
  }

  /** Returns the last sequence delivered of an attempt; 0 if none was. */
  synchronized long lastSequence(String ofAttemptId) {
    return attemptId.equals(ofAttemptId) ? lastSequence : 0;
  }

  private static RequestFailedException missing(String attemptId, long sequence) {
    return new RequestFailedException(
        Verdict.MAY_HAVE_RUN,
        Reason.TARGET_FAILED,
        "token " + sequence + " of " + attemptId + " is missing",
        OptionalLong.empty());
  }
}
