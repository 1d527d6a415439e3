package org.sequoiareach.decision.placement;

import org.sequoiareach.decision.length.RemainingLength;

/**
 * Predicts the memory that running generations hold at points ahead in time.
 *
 * <p>At each point a generation holds all its tokens if it still runs by then, and nothing if it
 * has ended. The sum over generations is described by its first three cumulants; its upper quantile
 * is the normal one corrected for skewness (Cornish and Fisher), and never above the memory held if
 * every generation lived on.
 */
final class MemoryForecast {

  private static final int POINTS = 16;

  private final double[] offsetsMs = new double[POINTS];
  private final double[] mean = new double[POINTS];
  private final double[] variance = new double[POINTS];
  private final double[] third = new double[POINTS];
  private final double[] most = new double[POINTS];
  private final double[] held = new double[POINTS];
  private final double[] alive = new double[POINTS];

  MemoryForecast(long horizonMs) {
    // Points lie closer together near the present, where the prediction is firmest.
    for (int k = 1; k < POINTS; k++) {
      offsetsMs[k] = (double) horizonMs * k * k / ((POINTS - 1) * (POINTS - 1));
    }
  }

  /** Starts again from memory in use by others, taken to stay as it is within a spread. */
  void reset(double othersTokens, double othersSpreadTokens) {
    for (int k = 0; k < POINTS; k++) {
      mean[k] = othersTokens;
      variance[k] = othersSpreadTokens * othersSpreadTokens;
      third[k] = 0;
      most[k] = othersTokens + 3 * othersSpreadTokens;
    }
  }

  /** Considers a generation: {@link #upperQuantile} with it, until it is added or replaced. */
  void consider(
      double contextTokens, RemainingLength remaining, int mostMoreTokens, double tokensPerMs) {
    for (int k = 0; k < POINTS; k++) {
      double more = Math.min(mostMoreTokens, offsetsMs[Math.min(k + 1, POINTS - 1)] * tokensPerMs);
      held[k] = contextTokens + more;
      alive[k] = remaining.outlives(offsetsMs[k] * tokensPerMs);
    }
  }

  /** Considers nothing. */
  void considerNothing() {
    for (int k = 0; k < POINTS; k++) {
      held[k] = 0;
      alive[k] = 0;
    }
  }

  /** Adds the generation that is being considered. */
  void addConsidered() {
    for (int k = 0; k < POINTS; k++) {
      mean[k] += held[k] * alive[k];
      variance[k] += varianceOf(k);
      third[k] += thirdOf(k);
      most[k] += alive[k] > 0 ? held[k] : 0;
    }
  }

  /** Returns the greatest mean over the points, without the generation considered. */
  double peakMean() {
    double peak = 0;
    for (double value : mean) {
      peak = Math.max(peak, value);
    }
    return peak;
  }

  /** Returns the greatest upper quantile over the points, with the generation considered. */
  double upperQuantile(double normalQuantile) {
    double peak = 0;
    for (int k = 0; k < POINTS; k++) {
      peak = Math.max(peak, upperQuantileAt(k, normalQuantile));
    }
    return peak;
  }

  private double upperQuantileAt(int k, double z) {
    double sigma = Math.sqrt(variance[k] + varianceOf(k));
    double highest = most[k] + (alive[k] > 0 ? held[k] : 0);
    double expected = mean[k] + held[k] * alive[k];
    if (sigma < 1e-9) {
      return expected;
    }
    double skewness = (third[k] + thirdOf(k)) / (sigma * sigma * sigma);
    double corrected = z + (z * z - 1) * skewness / 6;
    return Math.min(highest, expected + sigma * Math.max(0, corrected));
  }

  private double varianceOf(int k) {
    return held[k] * held[k] * alive[k] * (1 - alive[k]);
  }

  private double thirdOf(int k) {
    return held[k] * varianceOf(k) * (1 - 2 * alive[k]);
  }
}
