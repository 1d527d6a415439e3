package org.sequoiareach.decision.hedge;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits this daemon's share of the hedged requests that all daemons together may send to one
 * service.
 *
 * <p>The share is the hedge ratio applied to this daemon's own requests, rounded down. The shares
 * of all daemons therefore add up to no more than the ratio of all requests, without any message. A
 * daemon with few requests in the window has a share of 0. Not thread-safe.
 */
public final class HedgeBudget {

  /** Allows for windows that begin between a request and its hedged attempt. */
  private static final double SAFETY_FACTOR = 0.8;

  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> hedges = new ArrayDeque<>();

  /**
   * Records a request for the service.
   *
   * @param nowMs the current time
   */
  public void recordRequest(long nowMs) {
    requests.addLast(nowMs);
  }

  /**
   * Records that a hedged attempt was sent.
   *
   * @param nowMs the current time
   */
  public void recordHedge(long nowMs) {
    hedges.addLast(nowMs);
  }

  /**
   * Returns whether one more hedged attempt is within the share.
   *
   * @param nowMs the current time
   * @param hedgeRatio the ratio of hedged attempts to requests
   * @param windowMs the window over which both are counted, in milliseconds
   * @return true if it is
   */
  public boolean isAvailable(long nowMs, double hedgeRatio, long windowMs) {
    expire(requests, nowMs - windowMs);
    expire(hedges, nowMs - windowMs);
    return hedges.size() + 1 <= SAFETY_FACTOR * hedgeRatio * requests.size();
  }

  private static void expire(Deque<Long> times, long beforeMs) {
    while (!times.isEmpty() && times.peekFirst() < beforeMs) {
      times.removeFirst();
    }
  }
}
