package org.sequoiareach.daemon.measure;

import com.codahale.metrics.Clock;
import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * A reservoir that records every duration of the current and the previous interval, in nanoseconds.
 *
 * <p>An interval ends with the first snapshot taken after its length has elapsed, so a reservoir
 * that is never read stays in its first interval. Recording never blocks on a reader. Thread-safe.
 */
final class HistogramReservoir implements Reservoir {

  /** Long enough to observe the 99.9th percentile, short enough to forget an incident soon. */
  static final long INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

  /** The lowest duration that is resolved; shorter durations are of no interest. */
  static final long LOWEST_NANOS = TimeUnit.MICROSECONDS.toNanos(1);

  /** The highest duration, longer than any answer may take; longer ones are recorded as this. */
  static final long HIGHEST_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** Two digits give a resolution of 1% in about 30 KB per histogram. */
  private static final int SIGNIFICANT_DIGITS = 2;

  private final Clock clock;
  private final Recorder recorder = new Recorder(LOWEST_NANOS, HIGHEST_NANOS, SIGNIFICANT_DIGITS);
  private Histogram current = new Histogram(LOWEST_NANOS, HIGHEST_NANOS, SIGNIFICANT_DIGITS);
  private Histogram previous = new Histogram(LOWEST_NANOS, HIGHEST_NANOS, SIGNIFICANT_DIGITS);
  private Histogram recycled;
  private long intervalEndNanos;

  HistogramReservoir(Clock clock) {
    this.clock = clock;
    this.intervalEndNanos = clock.getTick() + INTERVAL_NANOS;
  }

  @Override
  public int size() {
    return getSnapshot().size();
  }

  @Override
  public void update(long nanos) {
    recorder.recordValue(Math.max(0, Math.min(nanos, HIGHEST_NANOS)));
  }

  @Override
  public synchronized Snapshot getSnapshot() {
    recycled = recorder.getIntervalHistogram(recycled);
    current.add(recycled);
    Histogram both = previous.copy();
    both.add(current);
    long nowNanos = clock.getTick();
    if (nowNanos - intervalEndNanos >= 0) {
      Histogram oldest = previous;
      oldest.reset();
      previous = current;
      current = oldest;
      intervalEndNanos = nowNanos + INTERVAL_NANOS;
    }
    return new HistogramSnapshot(both);
  }
}
