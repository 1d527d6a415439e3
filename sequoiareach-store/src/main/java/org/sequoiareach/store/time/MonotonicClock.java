package org.sequoiareach.store.time;

import java.time.Duration;

/** The monotonic clock of the JVM, in milliseconds. Thread-safe. */
public final class MonotonicClock {

  private static final long NANOS_PER_MS = 1_000_000;

  private MonotonicClock() {}

  /**
   * Returns the current time.
   *
   * @return the time, in milliseconds of {@code System.nanoTime()}
   */
  public static long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /**
   * Returns the time left until a deadline.
   *
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return the remaining time; zero if the deadline has passed
   */
  public static Duration until(long deadlineMs) {
    return Duration.ofMillis(Math.max(0, deadlineMs - nowMs()));
  }
}
