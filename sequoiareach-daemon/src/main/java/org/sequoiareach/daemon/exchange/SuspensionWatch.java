package org.sequoiareach.daemon.exchange;

import java.util.function.LongSupplier;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Notices that the VM was suspended, which the monotonic clock does not count.
 *
 * <p>The time of day goes on meanwhile. A step of the time of day looks the same, and then a few
 * requests are given up that need not be; sending an outdated one would be worse. Used on the
 * traffic thread alone.
 */
public final class SuspensionWatch {

  /** Larger than the drift that the time of day is corrected by between two requests. */
  private static final long LEAST_MS = 250;

  private final LongSupplier steadyMs;
  private final LongSupplier timeOfDayMs;
  private long offsetMs;
  private long suspendedMs;

  /** Creates a watch over the clocks of this machine. */
  public SuspensionWatch() {
    this(MonotonicClock::nowMs, System::currentTimeMillis);
  }

  SuspensionWatch(LongSupplier steadyMs, LongSupplier timeOfDayMs) {
    this.steadyMs = steadyMs;
    this.timeOfDayMs = timeOfDayMs;
    this.offsetMs = timeOfDayMs.getAsLong() - steadyMs.getAsLong();
  }

  /**
   * Returns for how long the VM was suspended since the watch was created.
   *
   * @return the sum of all suspensions, in milliseconds
   */
  public long suspendedMs() {
    long offset = timeOfDayMs.getAsLong() - steadyMs.getAsLong();
    if (offset - offsetMs >= LEAST_MS) {
      suspendedMs += offset - offsetMs;
    }
    offsetMs = offset;
    return suspendedMs;
  }

  /**
   * Tells whether the VM was suspended since an earlier time.
   *
   * @param sinceMs what {@link #suspendedMs} returned before
   * @return true if the VM was suspended since then
   */
  public boolean wasSuspendedSince(long sinceMs) {
    return suspendedMs() > sinceMs;
  }
}
