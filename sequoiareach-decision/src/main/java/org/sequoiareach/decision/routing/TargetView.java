package org.sequoiareach.decision.routing;

import java.util.Optional;
import org.sequoiareach.decision.placement.LoadHint;
import org.sequoiareach.model.Check;

/**
 * Describes a candidate as the daemon that took the request sees it.
 *
 * @param targetId the target
 * @param zone its availability zone
 * @param sameZone whether it is in this daemon's availability zone
 * @param outstanding attempts of this daemon in progress there
 * @param hint the owner's latest summary, or empty where none has come yet
 * @param hintAgeMs milliseconds since the hint was made; 0 without a hint
 */
public record TargetView(
    String targetId,
    String zone,
    boolean sameZone,
    int outstanding,
    Optional<LoadHint> hint,
    long hintAgeMs) {

  /** Checks the parts. */
  public TargetView {
    Check.hasText(targetId, "targetId");
    Check.notNull(hint, "hint");
  }
}
