package org.sequoiareach.decision.placement;

/** Computes upper quantiles of the standard normal distribution. */
final class NormalQuantile {

  private NormalQuantile() {}

  /**
   * Returns the value that a standard normal variable exceeds with the given probability, which
   * must be below 0.5. The absolute error is below 0.00045 (Abramowitz and Stegun, 26.2.23).
   */
  static double forExceedanceProbability(double probability) {
    double t = Math.sqrt(-2 * Math.log(probability));
    double numerator = 2.515517 + t * (0.802853 + t * 0.010328);
    double denominator = 1 + t * (1.432788 + t * (0.189269 + t * 0.001308));
    return t - numerator / denominator;
  }
}
