package org.sequoiareach.model.route;

import java.util.OptionalDouble;
import org.sequoiareach.model.Check;

/**
 * What the answer of a target states about the rate of requests that it accepts from all daemons
 * together. Immutable.
 *
 * @param present whether the answer states a rate, readable or not
 * @param perSecond the rate in requests per second; empty if none or an unreadable one is stated
 */
public record StatedRate(boolean present, OptionalDouble perSecond) {

  /** The answer states no rate. */
  public static final StatedRate NONE = new StatedRate(false, OptionalDouble.empty());

  /** The answer states a rate that cannot be read. */
  public static final StatedRate UNREADABLE = new StatedRate(true, OptionalDouble.empty());

  /** Validates the components. */
  public StatedRate {
    Check.notNull(perSecond, "perSecond");
    Check.isTrue(present || perSecond.isEmpty(), "A rate that is not present cannot have a value.");
    perSecond.ifPresent(
        rate ->
            Check.isTrue(
                rate >= 0 && Double.isFinite(rate),
                "'perSecond' must be a finite number of at least 0 but is " + rate + "."));
  }

  /**
   * Creates the statement of a rate.
   *
   * @param perSecond the rate in requests per second, at least 0
   * @return the statement
   */
  public static StatedRate of(double perSecond) {
    return new StatedRate(true, OptionalDouble.of(perSecond));
  }
}
