package org.sequoiareach.standin.fault;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts down the remaining calls that a fault applies to. Thread-safe. */
public final class FaultCountdown {

  private final AtomicInteger remaining = new AtomicInteger();

  /**
   * Sets the number of upcoming calls that the fault applies to.
   *
   * @param count the number of calls
   */
  public void set(int count) {
    remaining.set(count);
  }

  /**
   * Decrements the count if it is positive.
   *
   * @return whether the fault applies to this call
   */
  public boolean tryConsume() {
    return remaining.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
  }
}
