package org.sequoiareach.decision.placement;

import org.sequoiareach.model.Check;

/**
 * Settings of admission control, shared by all targets.
 *
 * @param assumedMemoryTokens the assumed memory of a target until its first load report, in tokens
 * @param queueBound the maximum number of attempts queued for one target
 * @param ageStepMs the waiting time that raises the priority of a queued attempt by one step, in
 *     milliseconds
 * @param overflowProbability the accepted probability that memory overflows within the horizon
 * @param horizonMs the length of the memory forecast, in milliseconds
 * @param targetTokenGapMs the upper bound for the predicted time between tokens, in milliseconds
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

  /** Validates the components. */
  public AdmissionSettings {
    Check.inRange(assumedMemoryTokens, 1, Integer.MAX_VALUE, "assumedMemoryTokens");
    Check.inRange(queueBound, 0, 1_000_000, "queueBound");
    Check.inRange(ageStepMs, 1, Long.MAX_VALUE, "ageStepMs");
    Check.isTrue(
        overflowProbability > 0 && overflowProbability < 0.5,
        "'overflowProbability' must be above 0 and below 0.5, but is " + overflowProbability + ".");
    Check.inRange(horizonMs, 1, Long.MAX_VALUE, "horizonMs");
    Check.isTrue(
        targetTokenGapMs > 0,
        "'targetTokenGapMs' must be above 0 ms, but is " + targetTokenGapMs + " ms.");
  }

  /**
   * Returns the default settings.
   *
   * @return the defaults
   */
  public static AdmissionSettings defaults() {
    return DEFAULTS;
  }
}
