package org.sequoiareach.load.settings;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Configures the arrival process: a Poisson process with optional periodic bursts.
 *
 * @param ratePerSecond the arrival rate outside bursts in requests per second, before the load
 *     factor
 * @param burst the bursts; empty for a constant rate
 */
public record Arrivals(double ratePerSecond, Optional<Burst> burst) {

  /** Validates the components. */
  public Arrivals {
    Check.isTrue(
        ratePerSecond > 0, "'ratePerSecond' must be greater than 0, but is " + ratePerSecond + ".");
    Check.notNull(burst, "burst");
  }

  /**
   * Configures bursts that repeat at a fixed period.
   *
   * @param everyMs the period in milliseconds, from the start of one burst to the start of the next
   * @param lengthMs the duration of a burst in milliseconds
   * @param factor the factor applied to the rate during a burst
   */
  public record Burst(long everyMs, long lengthMs, double factor) {

    /** Validates the components. */
    public Burst {
      Check.inRange(everyMs, 1, Long.MAX_VALUE, "everyMs");
      Check.inRange(lengthMs, 1, everyMs, "lengthMs");
    }
  }

  /**
   * Returns the arrival rate at a point in time.
   *
   * @param atMs milliseconds since the start of the run
   * @return arrivals per second before the load factor
   */
  public double rateAt(double atMs) {
    if (burst.isEmpty()) {
      return ratePerSecond;
    }
    Burst bursts = burst.get();
    boolean inBurst = atMs % bursts.everyMs() < bursts.lengthMs();
    return inBurst ? ratePerSecond * bursts.factor() : ratePerSecond;
  }

  /**
   * Returns the peak arrival rate.
   *
   * @return arrivals per second before the load factor
   */
  public double peakRate() {
    return burst.map(b -> ratePerSecond * Math.max(1, b.factor())).orElse(ratePerSecond);
  }
}
