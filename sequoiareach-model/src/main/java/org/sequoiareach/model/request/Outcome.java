package org.sequoiareach.model.request;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Says how one attempt at a request ended.
 *
 * @param verdict whether the attempt may have run on its target
 * @param reason why it failed; empty for success
 * @param message a sentence on the failure; empty for success
 * @param tokens the tokens generated, as far as is known
 * @param retryAfterMs milliseconds after which another attempt makes sense; 0 where none does
 */
public record Outcome(
    Verdict verdict, Optional<Reason> reason, String message, int tokens, long retryAfterMs) {

  /** Checks the parts. */
  public Outcome {
    Check.notNull(verdict, "verdict");
    Check.notNull(reason, "reason");
    Check.notNull(message, "message");
  }

  /**
   * Creates the outcome of a finished attempt.
   *
   * @param tokens the tokens generated; 0 for a service call
   * @return the outcome
   */
  public static Outcome finished(int tokens) {
    return new Outcome(Verdict.RAN, Optional.empty(), "", tokens, 0);
  }

  /**
   * Creates the outcome of a failed attempt.
   *
   * @param verdict whether it may have run
   * @param reason why it failed
   * @param message a sentence on the failure
   * @return the outcome
   */
  public static Outcome failed(Verdict verdict, Reason reason, String message) {
    return new Outcome(verdict, Optional.of(reason), message, 0, 0);
  }

  /**
   * Tells whether the attempt succeeded.
   *
   * @return true if the target's whole answer was received
   */
  public boolean succeeded() {
    return reason.isEmpty();
  }
}
