package org.sequoiareach.model.sheet;

import org.sequoiareach.model.Check;

/**
 * Bounds what one organisation may ask at a time, over all daemons.
 *
 * @param concurrentRequests the most requests in progress at once
 * @param requestsPerSecond the most requests that may start in a second
 */
public record LimitsEntry(int concurrentRequests, int requestsPerSecond) {

  /** Checks the parts. */
  public LimitsEntry {
    Check.inRange(concurrentRequests, 1, Integer.MAX_VALUE, "concurrentRequests");
    Check.inRange(requestsPerSecond, 1, Integer.MAX_VALUE, "requestsPerSecond");
  }
}
