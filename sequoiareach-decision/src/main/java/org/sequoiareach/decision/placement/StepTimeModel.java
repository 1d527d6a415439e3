package org.sequoiareach.decision.placement;

/**
 * Learns the time between tokens of one engine as a line in the batch and the context held.
 *
 * <p>The fit is least squares with non-negative coefficients over decayed observations, and starts
 * from a weak prior. An observation far above the prediction counts only in part, as a stalled or
 * preempted generation says little about the batch; a lasting slowdown is followed all the same.
 */
final class StepTimeModel {

  private static final double BATCH_UNIT = 32;
  private static final double CONTEXT_UNIT = 16_384;
  private static final double DECAY = 0.995;
  private static final double PRIOR_WEIGHT = 0.5;
  private static final double[] PRIOR_MS = {15, 10, 3};
  private static final double MOST_TIMES_PREDICTION = 3;
  private static final double LEAST_STEP_MS = 0.5;
  private static final int SWEEPS = 4;
  private static final double RECENT_WEIGHT = 0.05;

  private final double[][] products = new double[3][3];
  private final double[] targets = new double[3];
  private final double[] coefficients = PRIOR_MS.clone();
  private final double[] features = {1, 0, 0};
  private double recentMs;

  /** Learns one observed time between tokens. */
  void observe(int batch, double contextTokens, double stepMs) {
    double limit = MOST_TIMES_PREDICTION * predictMs(batch, contextTokens);
    double observed = Math.min(stepMs, limit);
    recentMs = recentMs == 0 ? observed : recentMs + RECENT_WEIGHT * (observed - recentMs);
    features[1] = batch / BATCH_UNIT;
    features[2] = contextTokens / CONTEXT_UNIT;
    for (int i = 0; i < 3; i++) {
      targets[i] = DECAY * targets[i] + features[i] * observed;
      for (int j = 0; j < 3; j++) {
        products[i][j] = DECAY * products[i][j] + features[i] * features[j];
      }
    }
    for (int sweep = 0; sweep < SWEEPS; sweep++) {
      improve();
    }
  }

  /** Predicts the time between tokens, in milliseconds. */
  double predictMs(int batch, double contextTokens) {
    double sum =
        coefficients[0]
            + coefficients[1] * batch / BATCH_UNIT
            + coefficients[2] * contextTokens / CONTEXT_UNIT;
    return Math.max(LEAST_STEP_MS, sum);
  }

  /** Returns the smoothed time between tokens observed of late; 0 where nothing was observed. */
  double recentMs() {
    return recentMs;
  }

  /** Improves each coefficient in turn, the others held. */
  private void improve() {
    for (int i = 0; i < 3; i++) {
      double rest = targets[i] + PRIOR_WEIGHT * PRIOR_MS[i];
      for (int j = 0; j < 3; j++) {
        rest -= j == i ? 0 : products[i][j] * coefficients[j];
      }
      coefficients[i] = Math.max(0, rest / (products[i][i] + PRIOR_WEIGHT));
    }
  }
}
