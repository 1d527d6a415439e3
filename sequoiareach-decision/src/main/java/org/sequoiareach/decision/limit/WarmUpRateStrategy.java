package org.sequoiareach.decision.limit;

/**
 * {@link PermitRateStrategy} for a cold target. A warm-up is too short to lend shares, so each
 * daemon that takes itself for the owner issues half of the rate: two owners with different views
 * stay within the rate, and three within the tolerance of a target.
 *
 * @param coldPerSecond the rate that a cold target takes from all daemons, per second
 */
public record WarmUpRateStrategy(double coldPerSecond) implements PermitRateStrategy {

  /** The part of the rate that one owner issues. */
  static final double OWNER_SHARE = 0.5;

  @Override
  public double permitsPerSecond(long nowMs, PermitPool pool) {
    return coldPerSecond * OWNER_SHARE;
  }
}
