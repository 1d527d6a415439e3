package org.sequoiareach.standin.relay;

import org.sequoiareach.model.Check;

/**
 * Holds the fault switches of a relay. The end of a connection passes at once, also through a
 * stalled direction.
 *
 * @param cut whether open connections are closed and new ones refused
 * @param stallForward whether bytes towards the forward address are held
 * @param stallBackward whether bytes from the forward address are held
 * @param delayForwardMs milliseconds that bytes take towards the forward address
 * @param delayBackwardMs milliseconds that bytes take from the forward address
 */
public record RelayFaults(
    boolean cut,
    boolean stallForward,
    boolean stallBackward,
    long delayForwardMs,
    long delayBackwardMs) {

  /** The switches with every fault off. */
  public static final RelayFaults NONE = new RelayFaults(false, false, false, 0, 0);

  /** Checks the parts. */
  public RelayFaults {
    Check.inRange(delayForwardMs, 0, Integer.MAX_VALUE, "delayForwardMs");
    Check.inRange(delayBackwardMs, 0, Integer.MAX_VALUE, "delayBackwardMs");
  }
}
