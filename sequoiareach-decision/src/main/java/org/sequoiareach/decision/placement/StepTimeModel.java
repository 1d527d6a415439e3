package org.sequoiareach.decision.placement;

/**
 * Predicts the time between tokens of one engine as a linear function of its batch size and
 * context.
 *
 * <p>The model is an online least-squares fit with non-negative coefficients over exponentially
 * decayed observations, regularised towards a weak prior. An observation far above the prediction
 * is clipped, because a stalled or preempted generation says little about the batch. A lasting
 * slowdown is still followed, since each clipped observation raises the prediction.
 */
final class StepTimeModel {

  private static final double BATCH_SCALE = 32;
  private static final double CONTEXT_SCALE_TOKENS = 16_384;
  private static final double DECAY_PER_OBSERVATION = 0.995;
  private static final double PRIOR_WEIGHT = 0.5;
  private static final double[] PRIOR_COEFFICIENTS_MS = {15, 10, 3};
  private static final double MAX_RATIO_TO_PREDICTION = 3;
  private static final double MIN_STEP_MS = 0.5;
  private static final int SWEEPS_PER_OBSERVATION = 4;
  private static final double SMOOTHING_FACTOR = 0.05;

  private final double[][] gramMatrix = new double[3][3];
  private final double[] moments = new double[3];
  private final double[] coefficients = PRIOR_COEFFICIENTS_MS.clone();
  private final double[] features = {1, 0, 0};
  private double recentMs;

  /** Updates the model with one observed time between tokens, in milliseconds. */
  void observe(int batch, double contextTokens, double stepMs) {
    double limit = MAX_RATIO_TO_PREDICTION * predictMs(batch, contextTokens);
    double observed = Math.min(stepMs, limit);
    recentMs = recentMs == 0 ? observed : recentMs + SMOOTHING_FACTOR * (observed - recentMs);
    features[1] = batch / BATCH_SCALE;
    features[2] = contextTokens / CONTEXT_SCALE_TOKENS;
    for (int i = 0; i < 3; i++) {
      moments[i] = DECAY_PER_OBSERVATION * moments[i] + features[i] * observed;
      for (int j = 0; j < 3; j++) {
        gramMatrix[i][j] = DECAY_PER_OBSERVATION * gramMatrix[i][j] + features[i] * features[j];
      }
    }
    for (int sweep = 0; sweep < SWEEPS_PER_OBSERVATION; sweep++) {
      updateCoefficients();
    }
  }

  /** Predicts the time between tokens, in milliseconds. */
  double predictMs(int batch, double contextTokens) {
    double sum =
        coefficients[0]
            + coefficients[1] * batch / BATCH_SCALE
            + coefficients[2] * contextTokens / CONTEXT_SCALE_TOKENS;
    return Math.max(MIN_STEP_MS, sum);
  }

  /**
   * Returns the exponentially smoothed time between tokens in milliseconds, or 0 before the first
   * observation.
   */
  double recentMs() {
    return recentMs;
  }

  /** Performs one sweep of coordinate descent, clamping coefficients at zero. */
  private void updateCoefficients() {
    for (int i = 0; i < 3; i++) {
      double residual = moments[i] + PRIOR_WEIGHT * PRIOR_COEFFICIENTS_MS[i];
      for (int j = 0; j < 3; j++) {
        residual -= j == i ? 0 : gramMatrix[i][j] * coefficients[j];
      }
      coefficients[i] = Math.max(0, residual / (gramMatrix[i][i] + PRIOR_WEIGHT));
    }
  }
}
