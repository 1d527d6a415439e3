package org.sequoiareach.decision.dispatch;

import org.sequoiareach.model.Check;

/**
 * The settings of the dispatch of routed requests.
 *
 * @param zone the daemon's availability zone
 * @param seed the seed of random choices
 * @param retryRatio the retries that all daemons together may send, as a ratio of the requests
 * @param retryWindowMs the window over which requests and retries are counted, in milliseconds
 * @param retryExtra the retries that all daemons together may send per window beyond the ratio
 * @param drainNoticeMs how long a draining daemon accepts new connections, in milliseconds
 * @param changeBoundMs the time within which a change in the store has to be in force, in
 *     milliseconds
 */
public record DispatchSettings(
    String zone,
    long seed,
    double retryRatio,
    long retryWindowMs,
    double retryExtra,
    long drainNoticeMs,
    long changeBoundMs) {

  /** Validates the components. */
  public DispatchSettings {
    Check.hasText(zone, "zone");
    Check.isTrue(retryRatio >= 0, "'retryRatio' must not be negative but is " + retryRatio + ".");
    Check.inRange(retryWindowMs, 1, Integer.MAX_VALUE, "retryWindowMs");
    Check.isTrue(retryExtra >= 0, "'retryExtra' must not be negative but is " + retryExtra + ".");
    Check.inRange(drainNoticeMs, 0, Integer.MAX_VALUE, "drainNoticeMs");
    Check.inRange(changeBoundMs, 1, Integer.MAX_VALUE, "changeBoundMs");
  }
}
