package org.sequoiareach.decision.placement;

import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.RequestSpec;

/**
 * Describes an attempt that asks for room on a target.
 *
 * @param attemptId the attempt
 * @param spec the request
 * @param priority the organisation's priority, from 1 (served first) to 9
 * @param deadlineMs when the request must be over
 */
public record PendingAttempt(String attemptId, RequestSpec spec, int priority, long deadlineMs) {

  /** Checks the parts. */
  public PendingAttempt {
    Check.hasText(attemptId, "attemptId");
    Check.notNull(spec, "spec");
  }
}
