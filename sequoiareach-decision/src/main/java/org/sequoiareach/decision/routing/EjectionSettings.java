package org.sequoiareach.decision.routing;

import org.sequoiareach.model.Check;

/**
 * Holds the settings of ejecting targets.
 *
 * @param failuresToEject failures in a row that eject a target
 * @param slowFactor how many times the median time between tokens of its siblings is slow
 * @param slowForMs how long a target must be slow before it is ejected, in milliseconds
 * @param firstEjectionMs how long a target is ejected the first time, in milliseconds
 * @param longestEjectionMs how long a target is ejected at most, in milliseconds
 * @param mostEjectedShare the most of the candidates of a request that may be left out
 */
public record EjectionSettings(
    int failuresToEject,
    double slowFactor,
    long slowForMs,
    long firstEjectionMs,
    long longestEjectionMs,
    double mostEjectedShare) {

  private static final EjectionSettings DEFAULTS =
      new EjectionSettings(3, 2.0, 3_000, 5_000, 120_000, 0.3);

  /** Checks the parts. */
  public EjectionSettings {
    Check.inRange(failuresToEject, 1, 1_000, "failuresToEject");
    Check.isTrue(slowFactor > 1, "'slowFactor' must be above 1.");
    Check.inRange(slowForMs, 0, Long.MAX_VALUE, "slowForMs");
    Check.inRange(firstEjectionMs, 1, Long.MAX_VALUE, "firstEjectionMs");
    Check.inRange(longestEjectionMs, firstEjectionMs, 86_400_000, "longestEjectionMs");
    Check.isTrue(
        mostEjectedShare >= 0 && mostEjectedShare < 1, "'mostEjectedShare' must be from 0 to 1.");
  }

  /**
   * Returns the settings used where none are given.
   *
   * @return the defaults
   */
  public static EjectionSettings defaults() {
    return DEFAULTS;
  }
}
