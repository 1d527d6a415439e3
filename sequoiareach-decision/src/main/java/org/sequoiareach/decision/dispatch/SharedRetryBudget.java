package org.sequoiareach.decision.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds this daemon's part of the repeats that all daemons together may send to one service.
 *
 * <p>The part is the ratio of this daemon's own requests, and an equal share of the fixed extra
 * among the most daemons that were ever seen alive. So the parts add up to no more than the whole
 * even while the daemons cannot talk to each other. Not thread-safe.
 */
final class SharedRetryBudget {

  /** Leaves room for what the daemons and the platform count at different moments. */
  private static final double USED_SHARE = 0.8;

  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> repeats = new ArrayDeque<>();

  /** Counts a request for the service. */
  void requested(long nowMs) {
    requests.addLast(nowMs);
  }

  /** Takes one repeat if the budget allows it. */
  boolean trySpend(long nowMs, DispatchSettings settings, int daemons) {
    expire(nowMs, settings.retryWindowMs());
    double extra = settings.retryExtra() / Math.max(1, daemons);
    double allowed = USED_SHARE * (settings.retryRatio() * requests.size() + extra);
    if (repeats.size() + 1 > allowed) {
      return false;
    }
    repeats.addLast(nowMs);
    return true;
  }

  private void expire(long nowMs, long windowMs) {
    while (!requests.isEmpty() && nowMs - requests.peekFirst() > windowMs) {
      requests.removeFirst();
    }
    while (!repeats.isEmpty() && nowMs - repeats.peekFirst() > windowMs) {
      repeats.removeFirst();
    }
  }
}
