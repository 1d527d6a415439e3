package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * A statement of a daemon that it read the store, and what stood there.
 *
 * @param readerId the identity of the daemon that read the store
 * @param ageMs the time since the store was read, in milliseconds
 * @param holdings what the reader held after it
 */
public record StoreReading(String readerId, long ageMs, StoreHoldings holdings) {

  /** Validates the components. */
  public StoreReading {
    Check.hasText(readerId, "readerId");
    Check.inRange(ageMs, 0, Long.MAX_VALUE, "ageMs");
    Check.notNull(holdings, "holdings");
  }
}
