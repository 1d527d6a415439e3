package org.sequoiareach.daemon.measure;

import com.codahale.metrics.Clock;
import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * Counts the durations of the running and the last whole interval, in nanoseconds. Intervals end
 * when a snapshot is taken after their time, so an unread reservoir goes on with its first one.
 * Recording never waits for a reader. Thread-safe.
 */
final class HistogramReservoir implements Reservoir {

  /** One minute: holds enough for the slowest in a thousand, and forgets soon after an incident. */
  static final long INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

  /** One microsecond: nothing shorter is of interest. */
  static final long LOWEST_NANOS = TimeUnit.MICROSECONDS.toNanos(1);

  /** Ten minutes: longer than any answer may take; what is above counts as this. */
  static final long HIGHEST_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** Two digits: values are told to one in a hundred, in about 30 KB a histogram. */
  private static final int DIGITS = 2;

  private final Clock clock;
  private final Recorder recorder = new Recorder(LOWEST_NANOS, HIGHEST_NANOS, DIGITS);
  private Histogram running = new Histogram(LOWEST_NANOS, HIGHEST_NANOS, DIGITS);
  private Histogram whole = new Histogram(LOWEST_NANOS, HIGHEST_NANOS, DIGITS);
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
    running.add(recycled);
    Histogram both = whole.copy();
    both.add(running);
    long nowNanos = clock.getTick();
    if (nowNanos - intervalEndNanos >= 0) {
      Histogram oldest = whole;
      oldest.reset();
      whole = running;
      running = oldest;
      intervalEndNanos = nowNanos + INTERVAL_NANOS;
    }
    return new HistogramSnapshot(both);
  }
}
