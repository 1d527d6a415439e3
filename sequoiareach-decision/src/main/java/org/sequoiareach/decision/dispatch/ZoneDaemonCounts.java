package org.sequoiareach.decision.dispatch;

import org.sequoiareach.model.Check;

/**
 * The numbers of daemons in an availability zone, as seen by one of them.
 *
 * @param taking the number of other daemons that accept new callers
 * @param most the highest number of daemons ever seen in the zone, including the observer
 */
record ZoneDaemonCounts(int taking, int most) {

  ZoneDaemonCounts {
    Check.inRange(taking, 0, Integer.MAX_VALUE, "taking");
    Check.inRange(most, 1, Integer.MAX_VALUE, "most");
  }

  /**
   * Returns whether the other daemons receive the new callers of the zone. If fewer than half of
   * the daemons are left, load balancers send callers to all daemons, including draining ones.
   */
  boolean othersTakeNewCallers() {
    return taking > 0 && 2 * taking >= most;
  }
}
