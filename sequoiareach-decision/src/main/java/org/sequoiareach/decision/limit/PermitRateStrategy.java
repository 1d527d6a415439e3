package org.sequoiareach.decision.limit;

/** Determines the rate at which a daemon issues permits for a target that it owns. */
public interface PermitRateStrategy {

  /**
   * Returns the rate.
   *
   * @param nowMs the current time
   * @param pool the pool that issues the permits
   * @return the permits per second; 0 if none may be issued now
   */
  double permitsPerSecond(long nowMs, PermitPool pool);

  /**
   * Combines this rate with another one.
   *
   * @param other the other rate
   * @return the lower one of both
   */
  default PermitRateStrategy and(PermitRateStrategy other) {
    return (nowMs, pool) ->
        Math.min(permitsPerSecond(nowMs, pool), other.permitsPerSecond(nowMs, pool));
  }
}
