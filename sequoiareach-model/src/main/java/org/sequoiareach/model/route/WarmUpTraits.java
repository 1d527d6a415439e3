package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * How many requests the targets of a service take while they are cold. Immutable.
 *
 * @param startMs how long a target is cold after its start, in milliseconds
 * @param perSecond the requests per second that a cold target takes from all daemons together; 0
 *     for no limit
 */
public record WarmUpTraits(long startMs, double perSecond) {

  /** The traits of a service that states none. */
  public static final WarmUpTraits NONE = new WarmUpTraits(0, 0);

  /** Validates the components. */
  public WarmUpTraits {
    Check.inRange(startMs, 0, Long.MAX_VALUE, "startMs");
    Check.isTrue(
        perSecond >= 0 && Double.isFinite(perSecond),
        "'perSecond' must be a finite number of at least 0 but is " + perSecond + ".");
  }
}
