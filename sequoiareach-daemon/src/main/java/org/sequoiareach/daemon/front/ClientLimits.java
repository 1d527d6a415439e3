package org.sequoiareach.daemon.front;

import org.sequoiareach.model.Check;

/**
 * Limits on what clients may hold of a daemon, whatever its routing sheet says.
 *
 * @param maxCallerConnections the number of connections at the address for callers
 * @param maxStatusConnections the number of connections at each of the addresses for readiness and
 *     metrics
 * @param maxHeaderLines the number of lines in a request head
 */
public record ClientLimits(int maxCallerConnections, int maxStatusConnections, int maxHeaderLines) {

  /**
   * Leaves a third of the 2,212 descriptors of the smallest VM to targets, peers and files. A head
   * of 16 KiB has at most 5,461 lines, of three bytes each.
   */
  public static final ClientLimits DEFAULT = new ClientLimits(1_400, 128, 8_192);

  private static final int MAX_CONNECTIONS = 1 << 20;
  private static final int MAX_LINES = 1 << 20;

  /** Validates the components. */
  public ClientLimits {
    Check.inRange(maxCallerConnections, 1, MAX_CONNECTIONS, "maxCallerConnections");
    Check.inRange(maxStatusConnections, 1, MAX_CONNECTIONS, "maxStatusConnections");
    Check.inRange(maxHeaderLines, 1, MAX_LINES, "maxHeaderLines");
  }
}
