package org.sequoiareach.decision.placement;

import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.RequestSpec;

/**
 * Attempt that requests admission to a target.
 *
 * @param attemptId the attempt
 * @param spec the request
 * @param priority the priority of the organisation, from 1 (served first) to 9
 * @param deadlineMs the time by which the request must have ended
 */
public record PendingAttempt(String attemptId, RequestSpec spec, int priority, long deadlineMs) {

  /** Validates the components. */
  public PendingAttempt {
    Check.hasText(attemptId, "attemptId");
    Check.notNull(spec, "spec");
  }

  /** Returns the reason for refusing a prompt that does not fit into a target's memory. */
  String promptTooLongReason(long memoryTokens) {
    return "prompt of "
        + spec.promptTokens()
        + " tokens does not fit into the target's memory of "
        + memoryTokens
        + " tokens";
  }
}
