package org.sequoiareach.standin.engine;

import org.sequoiareach.model.Check;

/**
 * Describes the length of answers that a request does not set: a Pareto distribution, drawn from
 * the seed and the prompt, so that the same prompt always gets the same length.
 *
 * @param medianTokens the median length
 * @param tailIndex the index of the distribution; the smaller, the heavier its tail
 * @param maxTokens the greatest length
 * @param seed the seed
 */
public record AnswerSettings(int medianTokens, double tailIndex, int maxTokens, long seed) {

  /** A median of 120 tokens with a heavy tail. */
  public static final AnswerSettings DEFAULT = new AnswerSettings(120, 1.2, 8_192, 1);

  /** Checks the parts. */
  public AnswerSettings {
    Check.inRange(medianTokens, 1, Integer.MAX_VALUE, "medianTokens");
    Check.isTrue(tailIndex > 0, "'tailIndex' must be positive.");
    Check.inRange(maxTokens, 1, Integer.MAX_VALUE, "maxTokens");
  }
}
