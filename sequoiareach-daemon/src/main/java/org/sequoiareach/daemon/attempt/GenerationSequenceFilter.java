package org.sequoiareach.daemon.attempt;

import java.util.OptionalLong;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/**
 * Filters answer parts so that each is delivered once, in order, and from a single generation.
 *
 * <p>Duplicates are dropped. A gap in the sequence fails the attempt, which is then resumed after
 * the last delivered part. For a streamed answer, parts of any other attempt are dropped once
 * content has been delivered, because the caller has already seen tokens of the first generation.
 * Used by one subscriber at a time.
 */
final class GenerationSequenceFilter {

  private final boolean singleAttempt;
  private String attemptId = "";
  private long lastSequence;

  /**
   * Creates a filter that has delivered nothing.
   *
   * @param singleAttempt whether the first delivered part excludes parts of all other attempts
   */
  GenerationSequenceFilter(boolean singleAttempt) {
    this.singleAttempt = singleAttempt;
  }

  /** Returns whether a part may be delivered, and if so records it as delivered. */
  synchronized boolean tryAccept(AnswerPart.Data part) {
    if (!part.attemptId().equals(attemptId)) {
      if (singleAttempt && lastSequence > 0) {
        return false;
      }
      attemptId = part.attemptId();
      lastSequence = 0;
    }
    if (part.sequence() <= lastSequence) {
      return false;
    }
    if (part.sequence() > lastSequence + 1) {
      throw missingToken(attemptId, lastSequence + 1);
    }
    lastSequence = part.sequence();
    return true;
  }

  /**
   * Verifies that every part of an attempt was delivered.
   *
   * @throws RequestFailedException if the last delivered part is not the last part of the attempt
   */
  synchronized void verifyEnd(String endedAttemptId, long sequence) {
    if (!endedAttemptId.equals(attemptId) || lastSequence != sequence) {
      throw missingToken(endedAttemptId, lastSequence + 1);
    }
  }

  /** Returns whether any part of the current attempt was delivered. */
  synchronized boolean hasDelivered() {
    return lastSequence > 0;
  }

  /**
   * Returns the sequence number of the last delivered part of an attempt, or 0 if there is none.
   */
  synchronized long lastSequence(String ofAttemptId) {
    return attemptId.equals(ofAttemptId) ? lastSequence : 0;
  }

  private static RequestFailedException missingToken(String attemptId, long sequence) {
    return new RequestFailedException(
        Verdict.MAY_HAVE_RUN,
        Reason.TARGET_FAILED,
        "token " + sequence + " of attempt " + attemptId + " is missing",
        OptionalLong.empty());
  }
}
