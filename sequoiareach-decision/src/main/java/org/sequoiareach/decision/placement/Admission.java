package org.sequoiareach.decision.placement;

import org.sequoiareach.model.Check;

/**
 * Holds a decision on one attempt.
 *
 * @param attempt the attempt
 * @param action what becomes of it
 * @param enginePriority the priority to give to the engine when it starts; lower is served first
 * @param reason why, in short, for the log
 * @param retryAfterMs for a refusal, milliseconds after which another attempt makes sense
 */
public record Admission(
    PendingAttempt attempt, Action action, int enginePriority, String reason, long retryAfterMs) {

  /** Names what becomes of an attempt. */
  public enum Action {
    /** It is sent to the target now. */
    START,
    /** It waits for room. */
    QUEUE,
    /** It is refused now; it has not run. */
    REFUSE
  }

  /** Checks the parts. */
  public Admission {
    Check.notNull(attempt, "attempt");
    Check.notNull(action, "action");
    Check.notNull(reason, "reason");
  }
}
