package org.sequoiareach.decision.length;

import org.sequoiareach.model.Check;

/**
 * Settings of {@link LengthStatistics}.
 *
 * @param halfLifeMs the time in which the weight of an observation halves, in milliseconds
 * @param parentWeight the number of own observations that weigh as much as the prediction of the
 *     parent
 * @param keyBound the maximum number of keys at each level; the least recently used are evicted
 */
public record LengthSettings(long halfLifeMs, double parentWeight, int keyBound) {

  private static final LengthSettings DEFAULTS = new LengthSettings(3_600_000, 8, 4_096);

  /** Validates the components. */
  public LengthSettings {
    Check.inRange(halfLifeMs, 1, Long.MAX_VALUE, "halfLifeMs");
    Check.isTrue(parentWeight > 0, "'parentWeight' must be above 0, but is " + parentWeight + ".");
    Check.inRange(keyBound, 1, 1_000_000, "keyBound");
  }

  /**
   * Returns the default settings.
   *
   * @return the defaults
   */
  public static LengthSettings defaults() {
    return DEFAULTS;
  }
}
