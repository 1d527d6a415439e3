package org.sequoiareach.decision.reducer;

import org.sequoiareach.model.Check;

/**
 * Holds the constants a daemon's decisions are taken with. Spans are in milliseconds.
 *
 * @param daemonId the identity of this daemon, unique among daemons
 * @param runId the identity of this run of the daemon, unique over all daemons and restarts
 * @param zone the availability zone of this daemon
 * @param seed the seed of all draws
 * @param maxAttempts the most targets tried for one request
 * @param maxResumes the most times one generation is resumed after a lost connection
 * @param resumeBackoffMs the wait before the first resume; it doubles each time
 * @param pauseBoundMs the longest gap between two events after which what is known still holds
 * @param sendWithinMs how long after a decision its attempt may still be sent
 * @param drainNoticeMs how long a leaving daemon still takes requests, for the balancer to notice
 * @param fundWithinMs how long a request waits for a portion of its organisation's plan
 * @param retryAfterMs when a refused caller should come back, where nothing better is known
 */
public record ReducerSettings(
    String daemonId,
    String runId,
    String zone,
    long seed,
    int maxAttempts,
    int maxResumes,
    long resumeBackoffMs,
    long pauseBoundMs,
    long sendWithinMs,
    long drainNoticeMs,
    long fundWithinMs,
    long retryAfterMs) {

  /** Checks the parts. */
  public ReducerSettings {
    Check.hasText(daemonId, "daemonId");
    Check.hasText(runId, "runId");
    Check.hasText(zone, "zone");
    Check.inRange(maxAttempts, 1, 100, "maxAttempts");
    Check.inRange(maxResumes, 0, 100, "maxResumes");
  }

  /**
   * Creates settings with the usual constants.
   *
   * @param daemonId the identity of this daemon
   * @param runId the identity of this run of it
   * @param zone its availability zone
   * @param seed the seed of all draws
   * @return the settings
   */
  public static ReducerSettings usual(String daemonId, String runId, String zone, long seed) {
    return new ReducerSettings(
        daemonId, runId, zone, seed, 3, 5, 100, 2_000, 1_000, 3_000, 2_000, 1_000);
  }
}
