package org.sequoiareach.decision.length;

import org.sequoiareach.model.Check;

/**
 * Predicts the length of an answer. Immutable.
 *
 * <p>Between the bounds of its buckets the probability of reaching a length is interpolated
 * linearly.
 */
public final class LengthDistribution {

  private final double[] reach;

  /** Creates the distribution from the hazard of each bucket. */
  LengthDistribution(double[] hazards) {
    reach = new double[hazards.length + 1];
    reach[0] = 1;
    for (int i = 0; i < hazards.length; i++) {
      reach[i + 1] = reach[i] * (1 - Math.min(1, hazards[i]));
    }
    reach[hazards.length] = 0;
  }

  /**
   * Returns the probability that an answer has at least this length.
   *
   * @param tokens the length; fractions are allowed
   * @return the probability, 1 for lengths of 0 and below
   */
  public double reach(double tokens) {
    if (tokens <= 0) {
      return 1;
    }
    if (tokens >= LengthBuckets.MAX_TOKENS) {
      return 0;
    }
    int i = LengthBuckets.indexOf((int) tokens);
    double lower = LengthBuckets.lower(i);
    double share = (tokens - lower) / (LengthBuckets.lower(i + 1) - lower);
    return reach[i] + share * (reach[i + 1] - reach[i]);
  }

  /**
   * Returns the distribution of the tokens still to come, given those already out.
   *
   * @param tokensSoFar the tokens already out
   * @param maxTokens the most tokens that the answer may have in all
   * @return the conditional tail
   */
  public RemainingLength remaining(int tokensSoFar, int maxTokens) {
    Check.inRange(tokensSoFar, 0, Integer.MAX_VALUE, "tokensSoFar");
    return new RemainingLength(this, tokensSoFar, Math.max(0, maxTokens - tokensSoFar));
  }

  /** Returns the shortest length that is reached with at most the given probability. */
  double lengthReachedWith(double probability) {
    int i = 0;
    while (i < reach.length - 1 && reach[i + 1] > probability) {
      i++;
    }
    if (i == reach.length - 1) {
      return LengthBuckets.MAX_TOKENS;
    }
    double drop = reach[i] - reach[i + 1];
    double share = drop <= 0 ? 0 : Math.max(0, (reach[i] - probability) / drop);
    double lower = LengthBuckets.lower(i);
    return lower + share * (LengthBuckets.lower(i + 1) - lower);
  }
}
