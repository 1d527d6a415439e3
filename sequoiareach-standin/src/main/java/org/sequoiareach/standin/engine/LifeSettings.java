package org.sequoiareach.standin.engine;

import org.sequoiareach.model.Check;

/**
 * Describes the queue of an engine, how long it keeps answers, how it leaves and takes orders.
 *
 * @param queueLimit the most generations that wait; a further one is refused
 * @param keepAnswerMs how long an answer can be resumed after its end, in milliseconds
 * @param reclaimAfterMs milliseconds from the start of leaving until the engine dies
 * @param checksFence whether orders with a fencing number below the greatest one seen are refused
 */
public record LifeSettings(
    int queueLimit, long keepAnswerMs, long reclaimAfterMs, boolean checksFence) {

  /** A queue of 256, answers kept a minute, half a minute to leave, fencing numbers checked. */
  public static final LifeSettings DEFAULT = new LifeSettings(256, 60_000, 30_000, true);

  /** Checks the parts. */
  public LifeSettings {
    Check.inRange(queueLimit, 1, Integer.MAX_VALUE, "queueLimit");
    Check.inRange(keepAnswerMs, 0, Integer.MAX_VALUE, "keepAnswerMs");
    Check.inRange(reclaimAfterMs, 0, Integer.MAX_VALUE, "reclaimAfterMs");
  }
}
