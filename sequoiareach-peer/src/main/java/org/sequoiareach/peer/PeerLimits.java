package org.sequoiareach.peer;

import org.sequoiareach.model.Check;

/**
 * Limits on the time and memory used by connections between daemons.
 *
 * @param maxFrameBytes the maximum length of a frame that is sent or accepted
 * @param outboundBytes the maximum number of bytes submitted to one connection but not yet written
 *     to its socket; control messages may exceed it by half
 * @param streamWindowBytes the flow-control window of one attempt: the maximum number of payload
 *     bytes in transit to a slow caller, and the maximum number of bytes that wait for credit here
 * @param connectTimeoutMs the maximum time to open a connection, including the handshake
 * @param idleTimeoutMs the time without received data after which a connection is closed
 */
public record PeerLimits(
    int maxFrameBytes,
    int outboundBytes,
    int streamWindowBytes,
    int connectTimeoutMs,
    int idleTimeoutMs) {

  /** Default limits, for a daemon on a small VM. */
  public static final PeerLimits DEFAULT =
      new PeerLimits(4 << 20, 8 << 20, 256 << 10, 2_000, 10_000);

  /** Validates the components. */
  public PeerLimits {
    Check.inRange(maxFrameBytes, 1 << 10, 64 << 20, "maxFrameBytes");
    Check.inRange(outboundBytes, maxFrameBytes, Integer.MAX_VALUE / 2, "outboundBytes");
    Check.inRange(streamWindowBytes, 1, outboundBytes, "streamWindowBytes");
    Check.inRange(connectTimeoutMs, 1, 60_000, "connectTimeoutMs");
    Check.inRange(idleTimeoutMs, 10, 600_000, "idleTimeoutMs");
  }
}
