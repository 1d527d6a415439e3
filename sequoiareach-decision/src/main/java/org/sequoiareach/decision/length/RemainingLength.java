package org.sequoiareach.decision.length;

/**
 * Predicted distribution of the remaining tokens of a running answer.
 *
 * <p>Immutable.
 */
public final class RemainingLength {

  private static final double MIN_SURVIVAL = 1e-12;

  private final LengthDistribution lengths;
  private final int tokensSoFar;
  private final int maxRemainingTokens;
  private final double survivalSoFar;

  RemainingLength(LengthDistribution lengths, int tokensSoFar, int maxRemainingTokens) {
    this.lengths = lengths;
    this.tokensSoFar = tokensSoFar;
    this.maxRemainingTokens = maxRemainingTokens;
    survivalSoFar = Math.max(MIN_SURVIVAL, lengths.survival(tokensSoFar));
  }

  /**
   * Returns the probability that the answer is still running after the given number of further
   * tokens.
   *
   * @param moreTokens the further tokens
   * @return the probability
   */
  public double survival(double moreTokens) {
    if (moreTokens > maxRemainingTokens) {
      return 0;
    }
    return Math.min(1, lengths.survival(tokensSoFar + moreTokens) / survivalSoFar);
  }

  /**
   * Returns the mean of the remaining tokens, restricted to a horizon.
   *
   * @param horizonTokens the maximum number of tokens to count
   * @return the mean
   */
  public double mean(int horizonTokens) {
    return integrate(horizonTokens, false);
  }

  /**
   * Returns the variance of the remaining tokens, restricted to a horizon.
   *
   * @param horizonTokens the maximum number of tokens to count
   * @return the variance
   */
  public double variance(int horizonTokens) {
    double mean = integrate(horizonTokens, false);
    return Math.max(0, integrate(horizonTokens, true) - mean * mean);
  }

  /**
   * Returns a quantile of the remaining tokens.
   *
   * @param probability the probability of at most that many remaining tokens, from 0 to 1
   * @return the quantile, in tokens
   */
  public double quantile(double probability) {
    if (!(probability >= 0 && probability <= 1)) {
      throw new IllegalArgumentException(
          "'probability' must be from 0 to 1, but is " + probability + ".");
    }
    double length = lengths.inverseSurvival((1 - probability) * survivalSoFar);
    return Math.max(0, Math.min(maxRemainingTokens, length - tokensSoFar));
  }

  /**
   * Integrates the survival function S(u), or 2u S(u), over u, which yields the first or the second
   * moment. S is linear within each bucket.
   */
  private double integrate(int horizonTokens, boolean secondMoment) {
    double end = Math.min(Math.max(0, horizonTokens), maxRemainingTokens);
    double sum = 0;
    double from = 0;
    while (from < end) {
      int bucket = LengthBuckets.indexOf((int) (tokensSoFar + from));
      if (tokensSoFar + from >= LengthBuckets.MAX_TOKENS) {
        break;
      }
      double to = Math.min(end, LengthBuckets.lowerBound(bucket + 1) - tokensSoFar);
      double a = survival(from);
      double b = survival(to);
      sum += secondMoment ? integrateSecondMoment(from, to, a, b) : (to - from) * (a + b) / 2;
      from = to;
    }
    return sum;
  }

  private static double integrateSecondMoment(double from, double to, double a, double b) {
    // Simpson's rule is exact, because 2u times a linear function is quadratic.
    double middle = (from + to) * (a + b) / 2;
    return (to - from) / 6 * (2 * from * a + 4 * middle + 2 * to * b);
  }
}
