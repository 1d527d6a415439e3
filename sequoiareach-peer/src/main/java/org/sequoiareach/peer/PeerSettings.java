package org.sequoiareach.peer;

import org.sequoiareach.model.Check;

/**
 * Settings of a {@link PeerTransport}.
 *
 * @param daemonId the identity of this daemon
 * @param incarnation the incarnation of this daemon, greater after each start
 * @param zone the availability zone of this daemon
 * @param host the IP address to listen on
 * @param port the port to listen on; 0 for any free port
 * @param limits the limits on time and memory
 */
public record PeerSettings(
    String daemonId, long incarnation, String zone, String host, int port, PeerLimits limits) {

  /** Validates the components. */
  public PeerSettings {
    Check.hasText(daemonId, "daemonId");
    Check.hasText(zone, "zone");
    Check.hasText(host, "host");
    Check.inRange(port, 0, 65_535, "port");
    Check.notNull(limits, "limits");
  }
}
