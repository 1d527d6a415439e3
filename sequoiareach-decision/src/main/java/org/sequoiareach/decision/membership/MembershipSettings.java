package org.sequoiareach.decision.membership;

import org.sequoiareach.model.Check;

/**
 * Settings of the local daemon for the membership protocol.
 *
 * @param daemonId the identity of this daemon
 * @param address the IP address and port on which it accepts peer connections
 * @param zone its availability zone
 * @param incarnation the initial incarnation number, at least 1 and greater at each start
 * @param seed the random seed for the probe order
 */
public record MembershipSettings(
    String daemonId, String address, String zone, long incarnation, long seed) {

  /** Validates the settings. */
  public MembershipSettings {
    Check.hasText(daemonId, "daemonId");
    Check.hasText(address, "address");
    Check.hasText(zone, "zone");
    Check.inRange(incarnation, 1, Long.MAX_VALUE, "incarnation");
  }
}
