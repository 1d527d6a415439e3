package org.sequoiareach.standin.fault;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts down the calls that a fault is still to hit. Thread-safe. */
public final class FaultCountdown {

  private final AtomicInteger left = new AtomicInteger();

  /**
   * Sets how many calls the fault is to hit.
   *
   * @param count the number of calls
   */
  public void set(int count) {
    left.set(count);
  }

  /**
   * Takes one call off the count.
   *
   * @return whether the fault hits this call
   */
  public boolean take() {
    return left.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
  }
}
