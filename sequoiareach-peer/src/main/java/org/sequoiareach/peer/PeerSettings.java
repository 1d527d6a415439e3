package org.sequoiareach.peer;

import org.sequoiareach.model.Check;

/**
 * Holds what a transport needs to know of its daemon and its bounds.
 *
 * @param daemonId the identity of this daemon
 * @param incarnation a number greater at each start of this daemon
 * @param zone its availability zone
 * @param host the IP number to take peers at
 * @param port the port to take peers at; 0 for any free one
 * @param limits the bounds
 */
public record PeerSettings(
    String daemonId, long incarnation, String zone, String host, int port, PeerLimits limits) {

  /** Checks the parts. */
  public PeerSettings {
    Check.hasText(daemonId, "daemonId");
    Check.hasText(zone, "zone");
    Check.hasText(host, "host");
    Check.inRange(port, 0, 65_535, "port");
    Check.notNull(limits, "limits");
  }
}
