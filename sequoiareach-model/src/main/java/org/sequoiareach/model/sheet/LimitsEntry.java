package org.sequoiareach.model.sheet;

import org.sequoiareach.model.Check;

/**
 * Limits on the concurrency and rate of one organisation's requests, over all daemons.
 *
 * @param concurrentRequests the maximum number of requests in progress
 * @param requestsPerSecond the maximum number of requests started per second
 */
public record LimitsEntry(int concurrentRequests, int requestsPerSecond) {

  /** Validates the components. */
  public LimitsEntry {
    Check.inRange(concurrentRequests, 1, Integer.MAX_VALUE, "concurrentRequests");
    Check.inRange(requestsPerSecond, 1, Integer.MAX_VALUE, "requestsPerSecond");
  }
}
