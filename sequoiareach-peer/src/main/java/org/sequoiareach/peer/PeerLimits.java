package org.sequoiareach.peer;

import org.sequoiareach.model.Check;

/**
 * Bounds the time and memory that connections between daemons may take.
 *
 * @param maxFrameBytes the longest frame that is sent or accepted
 * @param outboundBytes the most bytes handed to one connection and not yet written to its socket;
 *     half as much again is kept for short control messages
 * @param streamWindowBytes the most payload bytes of one attempt on their way to a slow caller, and
 *     the most that wait for credit here
 * @param connectTimeoutMs how long a connection may take to be opened, handshake included
 * @param idleTimeoutMs how long a connection may stay silent before it is closed
 */
public record PeerLimits(
    int maxFrameBytes,
    int outboundBytes,
    int streamWindowBytes,
    int connectTimeoutMs,
    int idleTimeoutMs) {

  /** The limits of a daemon on a small VM. */
  public static final PeerLimits DEFAULT =
      new PeerLimits(4 << 20, 8 << 20, 256 << 10, 2_000, 10_000);

  /** Checks the parts. */
  public PeerLimits {
    Check.inRange(maxFrameBytes, 1 << 10, 64 << 20, "maxFrameBytes");
    Check.inRange(outboundBytes, maxFrameBytes, Integer.MAX_VALUE / 2, "outboundBytes");
    Check.inRange(streamWindowBytes, 1, outboundBytes, "streamWindowBytes");
    Check.inRange(connectTimeoutMs, 1, 60_000, "connectTimeoutMs");
    Check.inRange(idleTimeoutMs, 10, 600_000, "idleTimeoutMs");
  }
}
