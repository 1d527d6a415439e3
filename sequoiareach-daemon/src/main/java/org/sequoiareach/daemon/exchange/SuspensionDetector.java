package org.sequoiareach.daemon.exchange;

import java.util.function.LongSupplier;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Detects suspensions of the VM by comparing the monotonic clock, which stops during a suspension,
 * with the wall clock, which continues.
 *
 * <p>A forward step of the wall clock is reported as a suspension too. A few requests then fail
 * needlessly, which is accepted because sending an outdated request would be worse. Not
 * thread-safe; confined to the event loop.
 */
public final class SuspensionDetector {

  /** Larger than the wall clock corrections that occur between two requests. */
  private static final long MIN_SUSPENSION_MS = 250;

  private final LongSupplier monotonicMs;
  private final LongSupplier wallClockMs;
  private long lastOffsetMs;
  private long totalSuspendedMs;

  /** Creates a detector that uses the clocks of this VM. */
  public SuspensionDetector() {
    this(MonotonicClock::nowMs, System::currentTimeMillis);
  }

  SuspensionDetector(LongSupplier monotonicMs, LongSupplier wallClockMs) {
    this.monotonicMs = monotonicMs;
    this.wallClockMs = wallClockMs;
    this.lastOffsetMs = wallClockMs.getAsLong() - monotonicMs.getAsLong();
  }

  /**
   * Returns the total time that the VM was suspended since this detector was created.
   *
   * @return the sum of all suspensions in milliseconds
   */
  public long totalSuspendedMs() {
    long offsetMs = wallClockMs.getAsLong() - monotonicMs.getAsLong();
    if (offsetMs - lastOffsetMs >= MIN_SUSPENSION_MS) {
      totalSuspendedMs += offsetMs - lastOffsetMs;
    }
    lastOffsetMs = offsetMs;
    return totalSuspendedMs;
  }

  /**
   * Returns whether the VM was suspended since an earlier call of {@link #totalSuspendedMs}.
   *
   * @param sinceMs the value that the earlier call returned
   * @return true if the total has grown since then
   */
  public boolean wasSuspendedSince(long sinceMs) {
    return totalSuspendedMs() > sinceMs;
  }
}
