package org.sequoiareach.decision.membership;

import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.platform.MemberUpdate;

/**
 * The local view of one daemon.
 *
 * @param daemonId the identity of the daemon
 * @param address the IP address and port on which it accepts peer connections
 * @param zone its availability zone
 * @param incarnation the incarnation that the state applies to; 0 if the daemon is known from the
 *     VM list only
 * @param state the state that this daemon assumes it to be in
 * @param leaving whether the daemon has announced that it is stopping, or is listed as leaving
 * @param sinceMs when the state was last updated, in milliseconds on the local clock
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
   * Returns whether the daemon is eligible to own targets.
   *
   * @return true unless it is leaving or considered dead
   */
  public boolean canOwnTargets() {
    return state != MemberState.DEAD && !leaving;
  }

  MemberUpdate toUpdate() {
    return new MemberUpdate(daemonId, address, zone, incarnation, state);
  }

  Member withLeaving(boolean newLeaving) {
    return new Member(daemonId, address, zone, incarnation, state, newLeaving, sinceMs);
  }
}
