package org.sequoiareach.decision.placement;

import org.sequoiareach.model.Check;

/**
 * Represents the outcome of admission control for one attempt.
 *
 * @param attempt the attempt
 * @param action whether the attempt is started, queued or refused
 * @param enginePriority the priority passed to the engine on start; lower values are served first
 * @param reason a short explanation for the decision log
 * @param retryAfterMs for a refusal, the delay in milliseconds before a retry is useful
 */
public record AdmissionDecision(
    PendingAttempt attempt, Action action, int enginePriority, String reason, long retryAfterMs) {

  /** Lists the possible outcomes of admission control. */
  public enum Action {
    /** The attempt is sent to the target immediately. */
    START,
    /** The attempt waits for capacity. */
    QUEUE,
    /** The attempt is refused without having run. */
    REFUSE
  }

  /** Validates the components. */
  public AdmissionDecision {
    Check.notNull(attempt, "attempt");
    Check.notNull(action, "action");
    Check.notNull(reason, "reason");
  }
}
