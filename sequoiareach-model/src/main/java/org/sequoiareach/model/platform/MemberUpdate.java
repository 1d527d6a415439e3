package org.sequoiareach.model.platform;

import org.sequoiareach.model.Check;

/**
 * State of one daemon, as exchanged between daemons by gossip.
 *
 * @param daemonId the identity of the daemon
 * @param address the IP address and port on which it accepts connections of peers
 * @param zone its availability zone
 * @param incarnation the incarnation, which only the daemon itself increases; an update with a
 *     greater incarnation takes precedence
 * @param state the state of the daemon
 */
public record MemberUpdate(
    String daemonId, String address, String zone, long incarnation, MemberState state) {

  /** Validates the components. */
  public MemberUpdate {
    Check.hasText(daemonId, "daemonId");
    Check.hasText(address, "address");
    Check.hasText(zone, "zone");
    Check.inRange(incarnation, 0, Long.MAX_VALUE, "incarnation");
    Check.notNull(state, "state");
  }
}
