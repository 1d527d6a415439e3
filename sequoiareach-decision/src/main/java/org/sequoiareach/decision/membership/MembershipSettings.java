package org.sequoiareach.decision.membership;

import org.sequoiareach.model.Check;

/**
 * Holds what the membership needs to know of its own daemon.
 *
 * @param daemonId the identity of this daemon
 * @param address the IP number and port at which it takes peers
 * @param zone its availability zone
 * @param incarnation a number greater at each start of this daemon, at least 1
 * @param seed the seed of the order of probes
 */
public record MembershipSettings(
    String daemonId, String address, String zone, long incarnation, long seed) {

  /** Checks the parts. */
  public MembershipSettings {
    Check.hasText(daemonId, "daemonId");
    Check.hasText(address, "address");
    Check.hasText(zone, "zone");
    Check.inRange(incarnation, 1, Long.MAX_VALUE, "incarnation");
  }
}
