package org.sequoiareach.model.request;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Outcome of one attempt at a request.
 *
 * @param verdict whether the attempt may have run on its target
 * @param reason the reason for the failure; empty for success
 * @param message a description of the failure; empty for success
 * @param tokens the number of generated tokens, as far as known
 * @param retryAfterMs the time after which a retry is useful, in milliseconds; 0 if none is
 */
public record Outcome(
    Verdict verdict, Optional<Reason> reason, String message, int tokens, long retryAfterMs) {

  /** Validates the components. */
  public Outcome {
    Check.notNull(verdict, "verdict");
    Check.notNull(reason, "reason");
    Check.notNull(message, "message");
  }

  /**
   * Creates the outcome of a finished attempt.
   *
   * @param tokens the number of generated tokens; 0 for a service call
   * @return the outcome
   */
  public static Outcome finished(int tokens) {
    return new Outcome(Verdict.RAN, Optional.empty(), "", tokens, 0);
  }

  /**
   * Creates the outcome of a failed attempt.
   *
   * @param verdict whether the attempt may have run
   * @param reason the reason for the failure
   * @param message a description of the failure
   * @return the outcome
   */
  public static Outcome failed(Verdict verdict, Reason reason, String message) {
    return new Outcome(verdict, Optional.of(reason), message, 0, 0);
  }

  /**
   * Returns the outcome as that of an attempt whose answer has started, which has therefore run at
   * least in part, whatever verdict was reported with its end.
   *
   * @return an outcome whose verdict is not {@link Verdict#NOT_RUN}
   */
  public Outcome ofStartedAttempt() {
    Verdict started = verdict.and(Verdict.MAY_HAVE_RUN);
    return new Outcome(started, reason, message, tokens, retryAfterMs);
  }

  /**
   * Checks whether the attempt succeeded.
   *
   * @return true if the target's answer was received completely
   */
  public boolean succeeded() {
    return reason.isEmpty();
  }
}
