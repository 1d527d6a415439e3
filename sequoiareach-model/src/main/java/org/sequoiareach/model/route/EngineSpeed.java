package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * Sum of recent observations of how fast one incarnation of an engine works. Immutable.
 *
 * @param incarnation the incarnation of the engine
 * @param decodeWeight the weight of the observations of decoding
 * @param decodeRatio the sum of the ratios of observed to expected time per event, each times its
 *     weight
 * @param prefillWeight the weight of the observations of prefilling
 * @param prefillRatio the sum of the ratios of observed to expected prefill time, each times its
 *     weight
 */
public record EngineSpeed(
    long incarnation,
    double decodeWeight,
    double decodeRatio,
    double prefillWeight,
    double prefillRatio) {

  /** Validates the components. */
  public EngineSpeed {
    requireSum(decodeWeight, "decodeWeight");
    requireSum(decodeRatio, "decodeRatio");
    requireSum(prefillWeight, "prefillWeight");
    requireSum(prefillRatio, "prefillRatio");
  }

  /**
   * Adds the observations of the same engine by others. Those of an earlier incarnation are
   * dropped.
   *
   * @param other the other observations
   * @return the sum
   */
  public EngineSpeed plus(EngineSpeed other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation ? this : other;
    }
    return new EngineSpeed(
        incarnation,
        decodeWeight + other.decodeWeight,
        decodeRatio + other.decodeRatio,
        prefillWeight + other.prefillWeight,
        prefillRatio + other.prefillRatio);
  }

  private static void requireSum(double value, String name) {
    Check.isTrue(
        value >= 0 && Double.isFinite(value),
        "'" + name + "' must be a finite number of at least 0 but is " + value + ".");
  }
}
