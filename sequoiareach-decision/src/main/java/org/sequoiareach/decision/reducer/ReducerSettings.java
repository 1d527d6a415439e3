package org.sequoiareach.decision.reducer;

import org.sequoiareach.model.Check;

/**
 * Settings of a {@link DecisionReducer}. Durations are in milliseconds.
 *
 * @param daemonId the id of this daemon, unique among daemons
 * @param runId the id of this run of the daemon, unique across all daemons and restarts
 * @param zone the availability zone of this daemon
 * @param seed the seed of all random choices
 * @param maxAttempts the maximum number of attempts for one request
 * @param maxResumes the maximum number of consecutive resumes of a generation without progress
 * @param resumeBackoffMs the delay before the first resume; doubles with each further resume
 * @param pauseBoundMs the maximum gap between two events; after a longer one the process counts as
 *     paused and its state as stale
 * @param sendWithinMs how long after a decision the attempt may still be sent
 * @param drainNoticeMs how long a draining daemon still accepts requests, so that the load balancer
 *     can take it out of rotation
 * @param budgetWaitMs how long a request waits for tokens of its organisation's daily plan
 * @param retryAfterMs the retry delay for refused callers where no better estimate exists
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
    long budgetWaitMs,
    long retryAfterMs) {

  /** Validates the settings. */
  public ReducerSettings {
    Check.hasText(daemonId, "daemonId");
    Check.hasText(runId, "runId");
    Check.hasText(zone, "zone");
    Check.inRange(maxAttempts, 1, 100, "maxAttempts");
    Check.inRange(maxResumes, 0, 100, "maxResumes");
  }

  /**
   * Creates settings with default limits and durations.
   *
   * @param daemonId the id of this daemon
   * @param runId the id of this run of the daemon
   * @param zone the availability zone of this daemon
   * @param seed the seed of all random choices
   * @return the settings
   */
  public static ReducerSettings defaults(String daemonId, String runId, String zone, long seed) {
    return new ReducerSettings(
        daemonId, runId, zone, seed, 3, 5, 100, 2_000, 1_000, 3_000, 2_000, 1_000);
  }
}
