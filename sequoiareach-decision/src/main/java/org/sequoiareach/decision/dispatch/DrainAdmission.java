package org.sequoiareach.decision.dispatch;

import java.util.Optional;

/**
 * Decides on streams that reach a daemon while it stops.
 *
 * <p>Answers stops in turn of a zone's daemons: callers that are sent away and come back at once
 * reach daemons that stop as well, or have not started again, and are lost with their second
 * attempt. A stream that would be cut is refused with the time at which its caller is served.
 * Immutable.
 *
 * @param startedMs when the daemon was told to stop
 * @param endMs when it cuts what is still in progress
 */
record DrainAdmission(long startedMs, long endMs) {

  /** Callers that came so soon cannot know of the stop; a later one must not lose its stream. */
  static final long UNAWARE_MS = 3_000;

  /** Another daemon of the zone can take the request at once. */
  private static final long SOON_MS = 20;

  /**
   * A balancer that asks each second leaves out who was not ready twice; then other zones serve.
   */
  private static final long LEFT_OUT_MS = 2_300;

  /** A process starts again, and has its sheet and targets, within this time after its end. */
  private static final long RESTART_MS = 1_500;

  /**
   * Decides on a stream.
   *
   * @param nowMs the time now
   * @param expectedMs how long it is expected to take
   * @param longestMs how long it takes if it becomes as long as it may
   * @param zone the daemons of the zone
   * @return the pause after which its caller should come back, in milliseconds; empty if the stream
   *     is taken
   */
  Optional<Long> findRetryAfter(long nowMs, long expectedMs, long longestMs, ZoneDaemons zone) {
    long leftMs = endMs - nowMs;
    if (longestMs <= leftMs) {
      return Optional.empty();
    }
    boolean unaware = nowMs - startedMs < UNAWARE_MS;
    if (unaware && expectedMs <= leftMs) {
      return Optional.empty();
    }
    if (zone.othersTakeOver()) {
      return Optional.of(SOON_MS);
    }
    long backMs = zone.taking() == 0 ? startedMs + LEFT_OUT_MS : endMs + RESTART_MS;
    return Optional.of(Math.max(SOON_MS, backMs - nowMs));
  }
}
