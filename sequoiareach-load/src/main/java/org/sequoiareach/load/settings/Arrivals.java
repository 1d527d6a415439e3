package org.sequoiareach.load.settings;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Describes when requests arrive: a Poisson process, with bursts where wanted.
 *
 * @param ratePerSecond the rate outside bursts, before the load factor
 * @param burst the bursts; empty for a steady rate
 */
public record Arrivals(double ratePerSecond, Optional<Burst> burst) {

  /** Checks the parts. */
  public Arrivals {
    Check.isTrue(ratePerSecond > 0, "'ratePerSecond' must be above 0.");
    Check.notNull(burst, "burst");
  }

  /**
   * Describes bursts that come at a fixed period.
   *
   * @param everyMs the time from the start of one burst to the start of the next
   * @param lengthMs how long a burst lasts
   * @param factor by how much the rate is multiplied in a burst
   */
  public record Burst(long everyMs, long lengthMs, double factor) {

    /** Checks the parts. */
    public Burst {
      Check.inRange(everyMs, 1, Long.MAX_VALUE, "everyMs");
      Check.inRange(lengthMs, 1, everyMs, "lengthMs");
    }
  }

  /**
   * Returns the rate at a moment.
   *
   * @param atMs milliseconds since the start of the run
   * @return arrivals per second before the load factor
   */
  public double rateAt(double atMs) {
    if (burst.isEmpty()) {
      return ratePerSecond;
    }
    Burst found = burst.get();
    boolean inBurst = atMs % found.everyMs() < found.lengthMs();
    return inBurst ? ratePerSecond * found.factor() : ratePerSecond;
  }

  /**
   * Returns the greatest rate of any moment.
   *
   * @return arrivals per second before the load factor
   */
  public double greatestRate() {
    return burst.map(b -> ratePerSecond * Math.max(1, b.factor())).orElse(ratePerSecond);
  }
}
