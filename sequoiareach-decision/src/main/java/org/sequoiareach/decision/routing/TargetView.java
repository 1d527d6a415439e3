package org.sequoiareach.decision.routing;

import java.util.Optional;
import org.sequoiareach.decision.placement.LoadHint;
import org.sequoiareach.model.Check;

/**
 * Candidate target as seen by the daemon that received the request.
 *
 * @param targetId the target
 * @param zone the availability zone of the target
 * @param sameZone whether the target is in the availability zone of this daemon
 * @param outstanding the attempts of this daemon in progress on the target
 * @param hint the latest load summary from the owner, or empty if none has arrived
 * @param hintAgeMs the age of the hint in milliseconds; 0 without a hint
 */
public record TargetView(
    String targetId,
    String zone,
    boolean sameZone,
    int outstanding,
    Optional<LoadHint> hint,
    long hintAgeMs) {

  /** Validates the components. */
  public TargetView {
    Check.hasText(targetId, "targetId");
    Check.notNull(hint, "hint");
  }
}
