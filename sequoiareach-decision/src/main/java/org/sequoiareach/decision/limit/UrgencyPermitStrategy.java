package org.sequoiareach.decision.limit;

/**
 * {@link PermitStrategy} that promises permits further ahead to the most urgent requests.
 *
 * <p>Answers the load of a target that is the only one left and accepts less than callers ask for.
 * Less urgent requests are refused first, and those that wait leave most of their time for the
 * answer, or for a second try elsewhere.
 */
public final class UrgencyPermitStrategy implements PermitStrategy {

  /** The part of the useful time that the most urgent requests may wait. */
  private static final double URGENT_WAIT_SHARE = 0.5;

  /** The part of the useful time that other requests may wait. */
  private static final double WAIT_SHARE = 0.25;

  @Override
  public long latestStartMs(long nowMs, long latestUsefulMs, int priority) {
    double share = priority <= 0 ? URGENT_WAIT_SHARE : WAIT_SHARE;
    return nowMs + Math.round(share * Math.max(0, latestUsefulMs - nowMs));
  }
}
