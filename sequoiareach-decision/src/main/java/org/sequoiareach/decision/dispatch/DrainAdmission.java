package org.sequoiareach.decision.dispatch;

import java.util.Optional;

/**
 * Admits or refuses streams that arrive at a draining daemon. Immutable.
 *
 * <p>Guards against lost callers in a rolling restart of an availability zone: a refused caller
 * that retries at once reaches a daemon that is draining as well, or has not restarted yet, and
 * fails on its second attempt. A stream that would be cut is therefore refused with the delay after
 * which its caller can be served.
 *
 * @param startedMs the time at which the drain started, in milliseconds
 * @param endMs the time at which calls still in progress are aborted, in milliseconds
 */
record DrainAdmission(long startedMs, long endMs) {

  /**
   * Callers that arrive within this time cannot know of the drain. The stream of a later caller
   * must not be cut, so it is admitted only if even its maximum length ends in time.
   */
  static final long DISCOVERY_MS = 3_000;

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
   * Decides whether to admit a stream.
   *
   * @param nowMs the current time
   * @param expectedMs the expected duration of the stream, in milliseconds
   * @param maxMs the duration of the stream at its maximum length, in milliseconds
   * @param zone the daemons of the availability zone
   * @return the delay after which the caller should retry, in milliseconds; empty if the stream is
   *     admitted
   */
  Optional<Long> findRetryAfter(long nowMs, long expectedMs, long maxMs, ZoneDaemonCounts zone) {
    long remainingMs = endMs - nowMs;
    if (maxMs <= remainingMs) {
      return Optional.empty();
    }
    boolean unaware = nowMs - startedMs < DISCOVERY_MS;
    if (unaware && expectedMs <= remainingMs) {
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
