package org.sequoiareach.standin.kv;

import org.sequoiareach.model.Check;

/**
 * Holds the fault switches of the simulated key-value service.
 *
 * @param down whether the connection of every request is closed before the request takes effect;
 *     open watches are closed too
 * @param delayMs the delay in milliseconds between the arrival of a request and its effect
 * @param loseAnswerAfterWrite the number of upcoming puts, deletions, transactions, lease grants
 *     and lease revocations that take effect but whose connection is closed without a response
 * @param ratePerSecond the maximum rate of all requests, above which they are rejected; 0 for no
 *     limit
 * @param watchCut whether open watches are closed and the connections of new ones are closed
 */
public record KvFaults(
    boolean down, long delayMs, int loseAnswerAfterWrite, int ratePerSecond, boolean watchCut) {

  /** All faults switched off. */
  public static final KvFaults NONE = new KvFaults(false, 0, 0, 0, false);

  /** Validates the switches. */
  public KvFaults {
    Check.inRange(delayMs, 0, Integer.MAX_VALUE, "delayMs");
    Check.inRange(loseAnswerAfterWrite, 0, Integer.MAX_VALUE, "loseAnswerAfterWrite");
    Check.inRange(ratePerSecond, 0, Integer.MAX_VALUE, "ratePerSecond");
  }
}
