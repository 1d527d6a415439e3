package org.sequoiareach.standin.kv;

import org.sequoiareach.model.Check;

/**
 * Holds the fault switches of the key-value stand-in.
 *
 * @param down whether calls lose their connection without taking effect; open watches are cut
 * @param delayMs milliseconds between the arrival of a call and its effect
 * @param loseAnswerAfterWrite how many of the next puts, deletions, transactions, grants and
 *     revocations take effect and then lose their connection
 * @param ratePerSecond the rate of all calls beyond which calls are refused; 0 for no limit
 * @param watchCut whether open watches are closed and new ones lose their connection
 */
public record KvFaults(
    boolean down, long delayMs, int loseAnswerAfterWrite, int ratePerSecond, boolean watchCut) {

  /** The switches with every fault off. */
  public static final KvFaults NONE = new KvFaults(false, 0, 0, 0, false);

  /** Checks the parts. */
  public KvFaults {
    Check.inRange(delayMs, 0, Integer.MAX_VALUE, "delayMs");
    Check.inRange(loseAnswerAfterWrite, 0, Integer.MAX_VALUE, "loseAnswerAfterWrite");
    Check.inRange(ratePerSecond, 0, Integer.MAX_VALUE, "ratePerSecond");
  }
}
