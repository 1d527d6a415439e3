package org.sequoiareach.decision.speed;

import org.sequoiareach.model.route.EngineSpeed;

/** The bounds of observations, own ones and those that other daemons report. */
public final class SpeedBounds {

  private static final double MIN_RATIO = 0.2;
  private static final double MAX_RATIO = 5;

  /** How far one observation may be from what is expected of the average engine. */
  private static final double MAX_STEP_RATIO = 2;

  /**
   * The highest weight of what one daemon reports of an engine. A relay reports for a whole zone,
   * and each run there weighs 1 for a second.
   */
  private static final double MAX_WEIGHT = 32;

  private SpeedBounds() {}

  static double boundRatio(double ratio) {
    return Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
  }

  /** Bounds what is learned of the average engine from one observation. */
  static double boundStep(double ratio) {
    return Math.max(1 / MAX_STEP_RATIO, Math.min(MAX_STEP_RATIO, ratio));
  }

  /**
   * Bounds a report, so that false figures of one daemon have a limited effect.
   *
   * @param reported the report
   * @return the report with a plausible ratio and a limited weight
   */
  public static EngineSpeed bound(EngineSpeed reported) {
    double decodeWeight = Math.min(MAX_WEIGHT, reported.decodeWeight());
    double prefillWeight = Math.min(MAX_WEIGHT, reported.prefillWeight());
    return new EngineSpeed(
        reported.incarnation(),
        decodeWeight,
        boundSum(reported.decodeRatio(), reported.decodeWeight()),
        prefillWeight,
        boundSum(reported.prefillRatio(), reported.prefillWeight()));
  }

  /** Bounds a sum of ratios; a plausible one is kept to the last digit. */
  private static double boundSum(double sum, double weight) {
    if (weight <= 0) {
      return 0;
    }
    boolean plausible = weight <= MAX_WEIGHT && boundRatio(sum / weight) == sum / weight;
    return plausible ? sum : Math.min(MAX_WEIGHT, weight) * boundRatio(sum / weight);
  }
}
