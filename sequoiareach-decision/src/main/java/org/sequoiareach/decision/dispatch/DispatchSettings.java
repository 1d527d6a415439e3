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
 * @param hedgeRatio the hedged requests that all daemons together may send to a service, as a ratio
 *     of its requests; 0 for none
 */
public record DispatchSettings(
    String zone,
    long seed,
    double retryRatio,
    long retryWindowMs,
    double retryExtra,
    long drainNoticeMs,
    long changeBoundMs,
    double hedgeRatio) {

  /** Validates the components. */
  public DispatchSettings {
    Check.hasText(zone, "zone");
    Check.isTrue(retryRatio >= 0, "'retryRatio' must not be negative but is " + retryRatio + ".");
    Check.inRange(retryWindowMs, 1, Integer.MAX_VALUE, "retryWindowMs");
    Check.isTrue(retryExtra >= 0, "'retryExtra' must not be negative but is " + retryExtra + ".");
    Check.inRange(drainNoticeMs, 0, Integer.MAX_VALUE, "drainNoticeMs");
    Check.inRange(changeBoundMs, 1, Integer.MAX_VALUE, "changeBoundMs");
    Check.isTrue(
        hedgeRatio >= 0 && hedgeRatio <= 1,
        "'hedgeRatio' must be between 0 and 1 but is " + hedgeRatio + ".");
  }

  /** Creates settings without hedged requests. */
  public DispatchSettings(
      String zone,
      long seed,
      double retryRatio,
      long retryWindowMs,
      double retryExtra,
      long drainNoticeMs,
      long changeBoundMs) {
    this(zone, seed, retryRatio, retryWindowMs, retryExtra, drainNoticeMs, changeBoundMs, 0);
  }

  /** Copies the settings with another ratio of hedged requests. */
  public DispatchSettings withHedgeRatio(double ratio) {
    return new DispatchSettings(
        zone, seed, retryRatio, retryWindowMs, retryExtra, drainNoticeMs, changeBoundMs, ratio);
  }
}
