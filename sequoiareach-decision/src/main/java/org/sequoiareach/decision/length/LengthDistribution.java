package org.sequoiareach.decision.length;

import org.sequoiareach.model.Check;

/**
 * Predicted distribution of the length of an answer, in tokens.
 *
 * <p>The survival function is interpolated linearly between bucket bounds.
 *
 * <p>Immutable.
 */
public final class LengthDistribution {

  private final double[] survival;

  /** Creates the distribution from the hazard rate of each bucket. */
  LengthDistribution(double[] hazards) {
    survival = new double[hazards.length + 1];
    survival[0] = 1;
    for (int i = 0; i < hazards.length; i++) {
      survival[i + 1] = survival[i] * (1 - Math.min(1, hazards[i]));
    }
    survival[hazards.length] = 0;
  }

  /**
   * Returns the probability that an answer has at least the given length.
   *
   * @param tokens the length, which may be fractional
   * @return the probability; 1 for lengths of 0 or below
   */
  public double survival(double tokens) {
    if (tokens <= 0) {
      return 1;
    }
    if (tokens >= LengthBuckets.MAX_TOKENS) {
      return 0;
    }
    int i = LengthBuckets.indexOf((int) tokens);
    double lower = LengthBuckets.lowerBound(i);
    double share = (tokens - lower) / (LengthBuckets.lowerBound(i + 1) - lower);
    return survival[i] + share * (survival[i + 1] - survival[i]);
  }

  /**
   * Returns the distribution of the remaining tokens, conditional on the tokens generated so far.
   *
   * @param tokensSoFar the tokens generated so far
   * @param maxTokens the maximum length of the whole answer
   * @return the conditional distribution
   */
  public RemainingLength remaining(int tokensSoFar, int maxTokens) {
    Check.inRange(tokensSoFar, 0, Integer.MAX_VALUE, "tokensSoFar");
    return new RemainingLength(this, tokensSoFar, Math.max(0, maxTokens - tokensSoFar));
  }

  /** Returns the smallest length whose survival probability is at most the given one. */
  double inverseSurvival(double probability) {
    int i = 0;
    while (i < survival.length - 1 && survival[i + 1] > probability) {
      i++;
    }
    if (i == survival.length - 1) {
      return LengthBuckets.MAX_TOKENS;
    }
    double drop = survival[i] - survival[i + 1];
    double share = drop <= 0 ? 0 : Math.max(0, (survival[i] - probability) / drop);
    double lower = LengthBuckets.lowerBound(i);
    return lower + share * (LengthBuckets.lowerBound(i + 1) - lower);
  }
}
