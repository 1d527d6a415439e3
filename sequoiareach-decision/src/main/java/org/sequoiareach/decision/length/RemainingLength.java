package org.sequoiareach.decision.length;

import org.sequoiareach.model.Check;

/** Predicts the tokens that a running answer has still to come. Immutable. */
public final class RemainingLength {

  private static final double LEAST_REACH = 1e-12;

  private final LengthDistribution lengths;
  private final int tokensSoFar;
  private final int mostTokens;
  private final double reachSoFar;

  RemainingLength(LengthDistribution lengths, int tokensSoFar, int mostTokens) {
    this.lengths = lengths;
    this.tokensSoFar = tokensSoFar;
    this.mostTokens = mostTokens;
    reachSoFar = Math.max(LEAST_REACH, lengths.reach(tokensSoFar));
  }

  /**
   * Returns the probability that the answer still runs after this many more tokens.
   *
   * @param moreTokens the tokens to come
   * @return the probability
   */
  public double outlives(double moreTokens) {
    if (moreTokens > mostTokens) {
      return 0;
    }
    return Math.min(1, lengths.reach(tokensSoFar + moreTokens) / reachSoFar);
  }

  /**
   * Returns the mean of the tokens still to come within a horizon.
   *
   * @param horizonTokens the most tokens to count
   * @return the mean
   */
  public double mean(int horizonTokens) {
    return integrate(horizonTokens, false);
  }

  /**
   * Returns the variance of the tokens still to come within a horizon.
   *
   * @param horizonTokens the most tokens to count
   * @return the variance
   */
  public double variance(int horizonTokens) {
    double mean = integrate(horizonTokens, false);
    return Math.max(0, integrate(horizonTokens, true) - mean * mean);
  }

  /**
   * Returns a quantile of the tokens still to come.
   *
   * @param probability the probability that no more tokens come, from 0 to 1
   * @return the quantile, in tokens
   */
  public double quantile(double probability) {
    Check.isTrue(probability >= 0 && probability <= 1, "'probability' must lie between 0 and 1.");
    double length = lengths.lengthReachedWith((1 - probability) * reachSoFar);
    return Math.max(0, Math.min(mostTokens, length - tokensSoFar));
  }

  /**
   * Integrates the probability of outliving u over u, or that times 2u, which gives the first or
   * the second moment. On each bucket the probability is a straight line.
   */
  private double integrate(int horizonTokens, boolean second) {
    double end = Math.min(Math.max(0, horizonTokens), mostTokens);
    double sum = 0;
    double from = 0;
    while (from < end) {
      int bucket = LengthBuckets.indexOf((int) (tokensSoFar + from));
      if (tokensSoFar + from >= LengthBuckets.MAX_TOKENS) {
        break;
      }
      double to = Math.min(end, LengthBuckets.lower(bucket + 1) - tokensSoFar);
      double a = outlives(from);
      double b = outlives(to);
      sum += second ? secondMomentOf(from, to, a, b) : (to - from) * (a + b) / 2;
      from = to;
    }
    return sum;
  }

  private static double secondMomentOf(double from, double to, double a, double b) {
    // Simpson's rule is exact here: 2u times a straight line is of second degree.
    double middle = (from + to) * (a + b) / 2;
    return (to - from) / 6 * (2 * from * a + 4 * middle + 2 * to * b);
  }
}
