package org.sequoiareach.standin.relay;

import org.sequoiareach.model.Check;

/**
 * Holds the fault switches of a relay. The end of a connection is forwarded at once, even through a
 * stalled direction.
 *
 * @param cut whether open connections are closed and new ones refused
 * @param stallForward whether bytes to the forward address are held back
 * @param stallBackward whether bytes from the forward address are held back
 * @param delayForwardMs the delay in milliseconds of bytes to the forward address
 * @param delayBackwardMs the delay in milliseconds of bytes from the forward address
 */
public record RelayFaults(
    boolean cut,
    boolean stallForward,
    boolean stallBackward,
    long delayForwardMs,
    long delayBackwardMs) {

  /** All faults switched off. */
  public static final RelayFaults NONE = new RelayFaults(false, false, false, 0, 0);

  /** Validates the switches. */
  public RelayFaults {
    Check.inRange(delayForwardMs, 0, Integer.MAX_VALUE, "delayForwardMs");
    Check.inRange(delayBackwardMs, 0, Integer.MAX_VALUE, "delayBackwardMs");
  }
}
