package org.sequoiareach.standin.engine;

import org.sequoiareach.model.Check;

/**
 * Configures the output length of requests that do not set one.
 *
 * <p>Lengths follow a Pareto distribution and are derived from the seed and the prompt, so that
 * equal prompts always produce outputs of equal length.
 *
 * @param medianTokens the median length in tokens
 * @param tailIndex the tail index of the distribution; smaller values give a heavier tail
 * @param maxTokens the maximum length in tokens
 * @param seed the seed of the random generator
 */
public record AnswerSettings(int medianTokens, double tailIndex, int maxTokens, long seed) {

  /** The default: a median of 120 tokens with a heavy tail. */
  public static final AnswerSettings DEFAULT = new AnswerSettings(120, 1.2, 8_192, 1);

  /** Validates the settings. */
  public AnswerSettings {
    Check.inRange(medianTokens, 1, Integer.MAX_VALUE, "medianTokens");
    Check.isTrue(tailIndex > 0, "'tailIndex' must be positive.");
    Check.inRange(maxTokens, 1, Integer.MAX_VALUE, "maxTokens");
  }
}
