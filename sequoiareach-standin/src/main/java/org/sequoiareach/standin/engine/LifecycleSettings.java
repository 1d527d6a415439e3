package org.sequoiareach.standin.engine;

import org.sequoiareach.model.Check;

/**
 * Configures the queue of an engine, the retention of outputs, its shutdown and the check of
 * orders.
 *
 * @param queueLimit the maximum number of queued generations; further ones are rejected
 * @param keepAnswerMs the time in milliseconds after its end during which an output can be resumed
 * @param reclaimAfterMs the time in milliseconds from the start of leaving until the engine goes
 *     down
 * @param checksFence whether orders with a fencing token below the greatest one received are
 *     rejected
 */
public record LifecycleSettings(
    int queueLimit, long keepAnswerMs, long reclaimAfterMs, boolean checksFence) {

  /** The default: 256 queued generations, 60 s of retention, 30 s to leave, fencing enabled. */
  public static final LifecycleSettings DEFAULT = new LifecycleSettings(256, 60_000, 30_000, true);

  /** Validates the settings. */
  public LifecycleSettings {
    Check.inRange(queueLimit, 1, Integer.MAX_VALUE, "queueLimit");
    Check.inRange(keepAnswerMs, 0, Integer.MAX_VALUE, "keepAnswerMs");
    Check.inRange(reclaimAfterMs, 0, Integer.MAX_VALUE, "reclaimAfterMs");
  }
}
