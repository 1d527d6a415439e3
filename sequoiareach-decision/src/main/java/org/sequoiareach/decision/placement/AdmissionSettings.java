package org.sequoiareach.decision.placement;

import org.sequoiareach.model.Check;

/**
 * Holds the settings of admission, the same for all targets.
 *
 * @param assumedMemoryTokens the tokens a target is taken to hold until its first load report
 * @param queueBound the most attempts that wait for one target
 * @param ageStepMs the waiting time that is worth one step of priority, in milliseconds
 * @param overflowProbability the most probability with which memory may fill up over the horizon
 * @param horizonMs how far ahead memory is predicted, in milliseconds
 * @param targetTokenGapMs the time between tokens that the batch is kept under, in milliseconds
 */
public record AdmissionSettings(
    int assumedMemoryTokens,
    int queueBound,
    long ageStepMs,
    double overflowProbability,
    long horizonMs,
    double targetTokenGapMs) {

  private static final AdmissionSettings DEFAULTS =
      new AdmissionSettings(16_384, 256, 2_000, 0.01, 20_000, 45.0);

  /** Checks the parts. */
  public AdmissionSettings {
    Check.inRange(assumedMemoryTokens, 1, Integer.MAX_VALUE, "assumedMemoryTokens");
    Check.inRange(queueBound, 0, 1_000_000, "queueBound");
    Check.inRange(ageStepMs, 1, Long.MAX_VALUE, "ageStepMs");
    Check.isTrue(
        overflowProbability > 0 && overflowProbability < 0.5,
        "'overflowProbability' must lie between 0 and 0.5.");
    Check.inRange(horizonMs, 1, Long.MAX_VALUE, "horizonMs");
    Check.isTrue(targetTokenGapMs > 0, "'targetTokenGapMs' must be above 0.");
  }

  /**
   * Returns the settings used where none are given.
   *
   * @return the defaults
   */
  public static AdmissionSettings defaults() {
    return DEFAULTS;
  }
}
