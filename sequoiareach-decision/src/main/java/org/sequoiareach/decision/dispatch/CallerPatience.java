package org.sequoiareach.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates when the callers of each route made their first attempt. Not thread-safe.
 *
 * <p>The repeated attempt of a caller is not marked, but it keeps the deadline of the first one. A
 * call with less time left than others of its route have is therefore taken for a repeated one.
 */
final class CallerPatience {

  /** Below the shortest return time, and above the jitter of links and of reading requests. */
  private static final long MIN_USED_MS = 80;

  /** The weight that the longest time keeps with each call: halved after 700 calls. */
  private static final double DECAY_FACTOR = 0.999;

  private final Map<String, Double> longestMs = new HashMap<>();

  /** Records the arrival of a call. */
  void record(ActiveCall call) {
    longestMs.merge(
        call.route().name(),
        (double) givenMs(call),
        (longest, given) -> Math.max(given, DECAY_FACTOR * longest));
  }

  /** Returns when the caller made its first attempt, in milliseconds; at most the arrival. */
  long firstAttemptMs(ActiveCall call) {
    long arrivedMs = call.profile().arrivedMs();
    double longest = longestMs.getOrDefault(call.route().name(), 0.0);
    long usedMs = Math.round(longest) - givenMs(call);
    return usedMs < MIN_USED_MS ? arrivedMs : arrivedMs - usedMs;
  }

  private static long givenMs(ActiveCall call) {
    return call.deadlineMs() - call.profile().arrivedMs();
  }
}
