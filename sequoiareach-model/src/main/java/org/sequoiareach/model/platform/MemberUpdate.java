package org.sequoiareach.model.platform;

import org.sequoiareach.model.Check;

/**
 * Tells what is believed of one daemon, as daemons pass it on to each other.
 *
 * @param daemonId the daemon
 * @param address the IP number and port at which it takes peers
 * @param zone its availability zone
 * @param incarnation the number that only the daemon itself raises; a greater one overrules
 * @param state what is believed
 */
public record MemberUpdate(
    String daemonId, String address, String zone, long incarnation, MemberState state) {

  /** Checks the parts. */
  public MemberUpdate {
    Check.hasText(daemonId, "daemonId");
    Check.hasText(address, "address");
    Check.hasText(zone, "zone");
    Check.inRange(incarnation, 0, Long.MAX_VALUE, "incarnation");
    Check.notNull(state, "state");
  }
}
