package org.sequoiareach.decision.membership;

import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.platform.MemberUpdate;

/**
 * Holds what is believed of one daemon.
 *
 * @param daemonId the daemon
 * @param address the IP number and port at which it takes peers
 * @param zone its availability zone
 * @param incarnation the incarnation that the belief is about; 0 where only the list tells of it
 * @param state what is believed
 * @param leaving whether it has announced that it is about to stop, or the list says so
 * @param sinceMs when the state was adopted
 */
public record Member(
    String daemonId,
    String address,
    String zone,
    long incarnation,
    MemberState state,
    boolean leaving,
    long sinceMs) {

  /**
   * Tells whether the daemon may own targets.
   *
   * @return true unless it is leaving or believed to have stopped
   */
  public boolean mayOwn() {
    return state != MemberState.DEAD && !leaving;
  }

  MemberUpdate toUpdate() {
    return new MemberUpdate(daemonId, address, zone, incarnation, state);
  }

  Member withLeaving(boolean nowLeaving) {
    return new Member(daemonId, address, zone, incarnation, state, nowLeaving, sinceMs);
  }
}
