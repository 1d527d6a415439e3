package org.sequoiareach.decision.routing;

import org.sequoiareach.model.Check;

/**
 * Settings of {@link OutlierEjection}.
 *
 * @param failuresToEject the consecutive failures that eject a target
 * @param slowFactor the multiple of the median time between tokens of its siblings above which a
 *     target counts as slow
 * @param slowForMs how long a target must be slow before it is ejected, in milliseconds
 * @param firstEjectionMs the maximum duration of the first ejection, in milliseconds
 * @param longestEjectionMs the maximum duration of any ejection, in milliseconds
 * @param maxEjectedFraction the maximum fraction of the candidates of a request that may be
 *     excluded
 */
public record EjectionSettings(
    int failuresToEject,
    double slowFactor,
    long slowForMs,
    long firstEjectionMs,
    long longestEjectionMs,
    double maxEjectedFraction) {

  private static final EjectionSettings DEFAULTS =
      new EjectionSettings(3, 2.0, 3_000, 5_000, 120_000, 0.3);

  /** Validates the components. */
  public EjectionSettings {
    Check.inRange(failuresToEject, 1, 1_000, "failuresToEject");
    Check.isTrue(slowFactor > 1, "'slowFactor' must be above 1, but is " + slowFactor + ".");
    Check.inRange(slowForMs, 0, Long.MAX_VALUE, "slowForMs");
    Check.inRange(firstEjectionMs, 1, Long.MAX_VALUE, "firstEjectionMs");
    Check.inRange(longestEjectionMs, firstEjectionMs, 86_400_000, "longestEjectionMs");
    Check.isTrue(
        maxEjectedFraction >= 0 && maxEjectedFraction < 1,
        "'maxEjectedFraction' must be at least 0 and below 1, but is " + maxEjectedFraction + ".");
  }

  /**
   * Returns the default settings.
   *
   * @return the defaults
   */
  public static EjectionSettings defaults() {
    return DEFAULTS;
  }
}
