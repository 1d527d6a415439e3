package org.sequoiareach.decision.dispatch;

import org.sequoiareach.model.Check;

/**
 * Holds what the dispatch of routed requests needs to know of its daemon and its platform.
 *
 * @param zone the daemon's availability zone
 * @param seed the seed of random choices
 * @param retryRatio the repeats that all daemons may send, as a share of the requests
 * @param retryWindowMs the time over which requests and repeats are counted, in milliseconds
 * @param retryExtra the repeats that all daemons may send in that time beyond the share
 * @param drainNoticeMs how long a stopping daemon takes new connections, in milliseconds
 */
public record DispatchSettings(
    String zone,
    long seed,
    double retryRatio,
    long retryWindowMs,
    double retryExtra,
    long drainNoticeMs) {

  /** Checks the parts. */
  public DispatchSettings {
    Check.hasText(zone, "zone");
    Check.isTrue(retryRatio >= 0, "'retryRatio' must not be negative.");
    Check.inRange(retryWindowMs, 1, Integer.MAX_VALUE, "retryWindowMs");
    Check.isTrue(retryExtra >= 0, "'retryExtra' must not be negative.");
    Check.inRange(drainNoticeMs, 0, Integer.MAX_VALUE, "drainNoticeMs");
  }
}
