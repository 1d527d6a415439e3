package org.sequoiareach.load.settings;

import org.sequoiareach.model.Check;

/**
 * Describes a distribution of lengths in tokens.
 *
 * @param distribution the family
 * @param median the median of a lognormal, the least value of a Pareto, or the fixed value
 * @param shape the sigma of a lognormal or the tail index of a Pareto; unused for a fixed value
 * @param least the least length drawn
 * @param most the greatest length drawn; longer draws are cut to it
 */
public record LengthSettings(
    Family distribution, double median, double shape, int least, int most) {

  /** Names the families of distributions. */
  public enum Family {
    /** Always the same length. */
    FIXED,
    /** Lognormal with the given median and sigma. */
    LOGNORMAL,
    /** Pareto with the given scale and tail index. */
    PARETO
  }

  /** Checks the parts. */
  public LengthSettings {
    Check.notNull(distribution, "distribution");
    Check.isTrue(median > 0, "'median' must be above 0.");
    Check.isTrue(
        distribution == Family.FIXED || shape > 0, "'shape' must be above 0 unless fixed.");
    Check.inRange(least, 1, Integer.MAX_VALUE, "least");
    Check.inRange(most, least, Integer.MAX_VALUE, "most");
  }
}
