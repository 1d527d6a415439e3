package org.sequoiareach.load.settings;

import org.sequoiareach.model.Check;

/**
 * Configures a distribution of lengths in tokens.
 *
 * @param distribution the distribution family
 * @param median the median of a lognormal, the scale of a Pareto, or the fixed value
 * @param shape the sigma of a lognormal or the tail index of a Pareto; unused for a fixed value
 * @param least the lower bound; shorter samples are raised to it
 * @param most the upper bound; longer samples are cut to it
 */
public record LengthDistributionSettings(
    Family distribution, double median, double shape, int least, int most) {

  /** Distribution families. */
  public enum Family {
    /** A constant length. */
    FIXED,
    /** Lognormal with the given median and sigma. */
    LOGNORMAL,
    /** Pareto with the given scale and tail index. */
    PARETO
  }

  /** Validates the components. */
  public LengthDistributionSettings {
    Check.notNull(distribution, "distribution");
    Check.isTrue(median > 0, "'median' must be greater than 0, but is " + median + ".");
    Check.isTrue(
        distribution == Family.FIXED || shape > 0,
        "'shape' of " + distribution + " must be greater than 0, but is " + shape + ".");
    Check.inRange(least, 1, Integer.MAX_VALUE, "least");
    Check.inRange(most, least, Integer.MAX_VALUE, "most");
  }
}
