package org.sequoiareach.decision.dispatch;

import java.util.Optional;

/**
 * Admits or refuses calls at a draining daemon. Immutable.
 *
 * <p>Guards against calls that are cut when the process stops. A call ends by its deadline, so one
 * whose deadline lies before the stop is safe. Any other may take longer than expected at a busy
 * target, and is admitted only from callers that cannot know of the drain yet.
 *
 * <p>Guards as well against lost callers in a rolling restart of an availability zone: a refused
 * caller that retries at once reaches a daemon that is draining as well, or has not restarted yet,
 * and fails on its second attempt. A call is therefore refused with the delay after which its
 * caller can be served.
 *
 * @param startedMs the time at which the drain started, in milliseconds
 * @param endMs the time at which calls still in progress are aborted, in milliseconds
 */
record DrainAdmission(long startedMs, long endMs) {

  /**
   * Callers may be cut if they sent their request within 3 s of the order to stop. The rest of that
   * time covers the delay until the daemon has processed the order.
   */
  static final long DISCOVERY_MS = 2_500;

  /** The retry delay if another daemon can take the request at once. */
  private static final long IMMEDIATE_RETRY_MS = 20;

  /**
   * A load balancer that probes each second excludes a daemon after two failed readiness probes.
   * Other availability zones serve the callers from then on.
   */
  private static final long BALANCER_EXCLUSION_MS = 2_300;

  /** The time after its end within which a restarted daemon has loaded its sheet and targets. */
  private static final long RESTART_MS = 1_500;

  /**
   * Decides whether to admit a call.
   *
   * @param nowMs the current time
   * @param expectedEndMs when the call is expected to end, in milliseconds; an average, not a bound
   * @param deadlineMs the deadline of the call, in milliseconds
   * @param zone the daemons of the availability zone
   * @return the delay after which the caller should retry, in milliseconds; empty if the call is
   *     admitted
   */
  Optional<Long> findRetryAfter(
      long nowMs, long expectedEndMs, long deadlineMs, ZoneDaemonCounts zone) {
    if (deadlineMs <= endMs) {
      return Optional.empty();
    }
    boolean unaware = nowMs - startedMs < DISCOVERY_MS;
    if (unaware && expectedEndMs <= endMs) {
      return Optional.empty();
    }
    if (zone.othersTakeNewCallers()) {
      return Optional.of(IMMEDIATE_RETRY_MS);
    }
    long availableAtMs =
        zone.taking() == 0 ? startedMs + BALANCER_EXCLUSION_MS : endMs + RESTART_MS;
    return Optional.of(Math.max(IMMEDIATE_RETRY_MS, availableAtMs - nowMs));
  }
}
