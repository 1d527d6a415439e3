package org.sequoiareach.decision.limit;

/**
 * {@link PermitRateStrategy} for a rate that a target states: the part of it that the daemons have
 * lent to the pool.
 *
 * @param limitPerSecond the rate that the target accepts from all daemons, per second
 */
public record StatedRateStrategy(double limitPerSecond) implements PermitRateStrategy {

  @Override
  public double permitsPerSecond(long nowMs, PermitPool pool) {
    return pool.permitsPerSecond(nowMs, limitPerSecond);
  }
}
