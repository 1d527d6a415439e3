package org.sequoiareach.decision.dispatch;

import org.sequoiareach.model.Check;

/**
 * Counts the daemons of an availability zone, as one of them sees them.
 *
 * @param taking the other daemons that take callers
 * @param most the most daemons ever seen in the zone, the counting one included
 */
record ZoneDaemons(int taking, int most) {

  ZoneDaemons {
    Check.inRange(taking, 0, Integer.MAX_VALUE, "taking");
    Check.inRange(most, 1, Integer.MAX_VALUE, "most");
  }

  /**
   * Tells whether the other daemons get the zone's new callers. Where fewer than half of the
   * daemons are left, balancers send callers to all of them, the stopping ones included.
   */
  boolean othersTakeOver() {
    return taking > 0 && 2 * taking >= most;
  }
}
