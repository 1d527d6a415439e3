package org.sequoiareach.model.route;

import java.util.OptionalDouble;
import org.sequoiareach.model.Check;

/**
 * The latest knowledge about the rate of requests that one incarnation of a target accepts from all
 * daemons together. Immutable.
 *
 * @param targetId the identity of the target
 * @param incarnation the incarnation of the target
 * @param perSecond the rate in requests per second; empty if the target no longer states one
 * @param observedAtMs when an answer of the target showed this, in milliseconds of the local
 *     monotonic clock
 */
public record TargetRateLimit(
    String targetId, long incarnation, OptionalDouble perSecond, long observedAtMs) {

  /** Validates the components. */
  public TargetRateLimit {
    Check.hasText(targetId, "targetId");
    Check.notNull(perSecond, "perSecond");
  }

  /**
   * Returns whether the target states a limit.
   *
   * @return false if it no longer does
   */
  public boolean isInForce() {
    return perSecond.isPresent();
  }

  /**
   * Returns whether this knowledge allows more requests than another.
   *
   * @param other the other knowledge of the same target
   * @return true if the other one is stricter
   */
  public boolean isLooserThan(TargetRateLimit other) {
    return perSecond.orElse(Double.POSITIVE_INFINITY)
        > other.perSecond.orElse(Double.POSITIVE_INFINITY);
  }
}
