package org.sequoiareach.decision.length;

import org.sequoiareach.model.Check;

/**
 * Holds the settings of learning lengths.
 *
 * @param halfLifeMs how long an observation takes to lose half its weight, in milliseconds
 * @param parentWeight how many own observations weigh as much as what the parent has learnt
 * @param keyBound the most keys kept at each level; the least recently used are dropped
 */
public record LengthSettings(long halfLifeMs, double parentWeight, int keyBound) {

  private static final LengthSettings DEFAULTS = new LengthSettings(3_600_000, 8, 4_096);

  /** Checks the parts. */
  public LengthSettings {
    Check.inRange(halfLifeMs, 1, Long.MAX_VALUE, "halfLifeMs");
    Check.isTrue(parentWeight > 0, "'parentWeight' must be above 0.");
    Check.inRange(keyBound, 1, 1_000_000, "keyBound");
  }

  /**
   * Returns the settings used where none are given.
   *
   * @return the defaults
   */
  public static LengthSettings defaults() {
    return DEFAULTS;
  }
}
