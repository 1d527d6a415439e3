package org.sequoiareach.decision.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits this daemon's share of the retries that all daemons together may send to one service.
 *
 * <p>The share is the retry ratio applied to this daemon's own requests, plus the fixed extra
 * divided by the highest number of daemons ever seen alive. The shares of all daemons therefore add
 * up to no more than the total even while the daemons cannot communicate. Not thread-safe.
 */
final class SharedRetryBudget {

  /** Allows for daemons and the platform counting the same requests at different moments. */
  private static final double SAFETY_FACTOR = 0.8;

  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> retries = new ArrayDeque<>();

  /** Records a request for the service. */
  void recordRequest(long nowMs) {
    requests.addLast(nowMs);
  }

  /** Takes one retry from the budget; returns false if it is exhausted. */
  boolean tryAcquire(long nowMs, DispatchSettings settings, int daemons) {
    if (!isAvailable(nowMs, settings, daemons)) {
      return false;
    }
    retries.addLast(nowMs);
    return true;
  }

  /** Takes one retry from the budget if at least the given number is left after it. */
  boolean tryAcquireLeaving(int left, long nowMs, DispatchSettings settings, int daemons) {
    if (!isAvailable(1 + left, nowMs, settings, daemons)) {
      return false;
    }
    retries.addLast(nowMs);
    return true;
  }

  /** Returns whether the budget has a retry left. */
  boolean isAvailable(long nowMs, DispatchSettings settings, int daemons) {
    return isAvailable(1, nowMs, settings, daemons);
  }

  private boolean isAvailable(int wanted, long nowMs, DispatchSettings settings, int daemons) {
    expire(nowMs, settings.retryWindowMs());
    double extra = settings.retryExtra() / Math.max(1, daemons);
    double allowed = SAFETY_FACTOR * (settings.retryRatio() * requests.size() + extra);
    return retries.size() + wanted <= allowed;
  }

  private void expire(long nowMs, long windowMs) {
    while (!requests.isEmpty() && nowMs - requests.peekFirst() > windowMs) {
      requests.removeFirst();
    }
    while (!retries.isEmpty() && nowMs - retries.peekFirst() > windowMs) {
      retries.removeFirst();
    }
  }
}
