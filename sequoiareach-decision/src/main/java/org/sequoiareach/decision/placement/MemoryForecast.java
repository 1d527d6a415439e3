package org.sequoiareach.decision.placement;

import org.sequoiareach.decision.length.RemainingLength;

/**
 * Predicts the memory held by running generations at a series of future points.
 *
 * <p>At each point a generation holds all its tokens if it is still running, and nothing if it has
 * ended. The sum over all generations is described by its first three cumulants. Its upper quantile
 * is the normal quantile with a Cornish-Fisher correction for skewness, capped at the memory held
 * if every generation survived.
 *
 * <p>A candidate can be set to evaluate the forecast with one more generation before adding it.
 */
final class MemoryForecast {

  private static final int POINTS = 16;

  private final double[] offsetsMs = new double[POINTS];
  private final double[] mean = new double[POINTS];
  private final double[] variance = new double[POINTS];
  private final double[] thirdCumulant = new double[POINTS];
  private final double[] upperBound = new double[POINTS];
  private final double[] candidateTokens = new double[POINTS];
  private final double[] candidateSurvival = new double[POINTS];

  MemoryForecast(long horizonMs) {
    // Quadratic spacing puts more points near the present, where the prediction is most accurate.
    for (int k = 1; k < POINTS; k++) {
      offsetsMs[k] = (double) horizonMs * k * k / ((POINTS - 1) * (POINTS - 1));
    }
  }

  /**
   * Restarts the forecast from the memory held by others, assumed constant with the given standard
   * deviation.
   */
  void reset(double externalTokens, double externalStdDevTokens) {
    for (int k = 0; k < POINTS; k++) {
      mean[k] = externalTokens;
      variance[k] = externalStdDevTokens * externalStdDevTokens;
      thirdCumulant[k] = 0;
      upperBound[k] = externalTokens + 3 * externalStdDevTokens;
    }
  }

  /**
   * Sets the generation that {@link #upperQuantile} includes in addition to those already added.
   */
  void setCandidate(
      double contextTokens, RemainingLength remaining, int maxRemainingTokens, double tokensPerMs) {
    for (int k = 0; k < POINTS; k++) {
      double more =
          Math.min(maxRemainingTokens, offsetsMs[Math.min(k + 1, POINTS - 1)] * tokensPerMs);
      candidateTokens[k] = contextTokens + more;
      candidateSurvival[k] = remaining.survival(offsetsMs[k] * tokensPerMs);
    }
  }

  /** Removes the candidate without adding it. */
  void clearCandidate() {
    for (int k = 0; k < POINTS; k++) {
      candidateTokens[k] = 0;
      candidateSurvival[k] = 0;
    }
  }

  /** Adds the candidate to the forecast. It stays set until it is replaced or cleared. */
  void addCandidate() {
    for (int k = 0; k < POINTS; k++) {
      mean[k] += candidateTokens[k] * candidateSurvival[k];
      variance[k] += candidateVariance(k);
      thirdCumulant[k] += candidateThirdCumulant(k);
      upperBound[k] += candidateSurvival[k] > 0 ? candidateTokens[k] : 0;
    }
  }

  /** Returns the maximum over all points of the mean, without the candidate. */
  double peakMean() {
    double peak = 0;
    for (double value : mean) {
      peak = Math.max(peak, value);
    }
    return peak;
  }

  /** Returns the maximum over all points of the upper quantile, including the candidate. */
  double upperQuantile(double normalQuantile) {
    double peak = 0;
    for (int k = 0; k < POINTS; k++) {
      peak = Math.max(peak, upperQuantileAt(k, normalQuantile));
    }
    return peak;
  }

  private double upperQuantileAt(int k, double z) {
    double sigma = Math.sqrt(variance[k] + candidateVariance(k));
    double bound = upperBound[k] + (candidateSurvival[k] > 0 ? candidateTokens[k] : 0);
    double expected = mean[k] + candidateTokens[k] * candidateSurvival[k];
    if (sigma < 1e-9) {
      return expected;
    }
    double skewness = (thirdCumulant[k] + candidateThirdCumulant(k)) / (sigma * sigma * sigma);
    double corrected = z + (z * z - 1) * skewness / 6;
    return Math.min(bound, expected + sigma * Math.max(0, corrected));
  }

  private double candidateVariance(int k) {
    return candidateTokens[k]
        * candidateTokens[k]
        * candidateSurvival[k]
        * (1 - candidateSurvival[k]);
  }

  private double candidateThirdCumulant(int k) {
    return candidateTokens[k] * candidateVariance(k) * (1 - 2 * candidateSurvival[k]);
  }
}
