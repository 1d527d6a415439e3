package org.sequoiareach.decision.follow;

import java.util.Optional;
import org.sequoiareach.model.route.StoreHoldings;
import org.sequoiareach.model.route.StoreReading;

/**
 * Keeps the youngest reading of the store that is known, and up to which time the holdings of this
 * daemon are confirmed by a reading. Not thread-safe.
 */
public final class ReadingRegistry {

  /** A time before every reading. */
  public static final long NEVER_MS = Long.MIN_VALUE / 2;

  private Optional<KnownReading> youngest = Optional.empty();
  private long confirmedMs = NEVER_MS;

  /**
   * A reading and its time on the clock of this daemon.
   *
   * @param readerId the identity of the daemon that read the store
   * @param readMs when it read the store, in milliseconds
   * @param holdings what the reader held after it
   */
  public record KnownReading(String readerId, long readMs, StoreHoldings holdings) {

    /**
     * Converts the reading to its form for other daemons.
     *
     * @param nowMs the current time
     * @return the reading with its age
     */
    public StoreReading toReading(long nowMs) {
      return new StoreReading(readerId, Math.max(0, nowMs - readMs), holdings);
    }
  }

  /**
   * Records a reading.
   *
   * @param reading the reading
   * @param own what this daemon holds
   */
  public void record(KnownReading reading, StoreHoldings own) {
    if (youngest.isEmpty() || reading.readMs() > youngest.get().readMs()) {
      youngest = Optional.of(reading);
    }
    confirm(reading, own);
  }

  /**
   * Confirms the holdings of this daemon after they have changed.
   *
   * @param own what this daemon holds
   */
  public void onHoldingsChanged(StoreHoldings own) {
    youngest.ifPresent(reading -> confirm(reading, own));
  }

  /** Forgets all readings, for example because their ages are not known after a suspension. */
  public void clear() {
    youngest = Optional.empty();
    confirmedMs = NEVER_MS;
  }

  /**
   * Returns the youngest reading that is known.
   *
   * @return the reading; empty before the first one
   */
  public Optional<KnownReading> youngest() {
    return youngest;
  }

  /**
   * Returns the latest time at which the store is known to have held nothing newer than this
   * daemon.
   *
   * @return the time in milliseconds; {@link #NEVER_MS} if there is none
   */
  public long confirmedMs() {
    return confirmedMs;
  }

  private void confirm(KnownReading reading, StoreHoldings own) {
    if (own.covers(reading.holdings())) {
      confirmedMs = Math.max(confirmedMs, reading.readMs());
    }
  }
}
