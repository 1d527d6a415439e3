package org.sequoiareach.load.report;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Counts times from a microsecond to an hour with three digits. Not thread-safe. */
public final class TimeHistogram {

  private static final long GREATEST_US = TimeUnit.HOURS.toMicros(1);
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final int NANOS_PER_MICRO = 1_000;

  private final Histogram histogram = new Histogram(GREATEST_US, DIGITS);

  /**
   * Counts a time.
   *
   * @param nanos the time in nanoseconds; those beyond an hour count as an hour
   */
  public void record(long nanos) {
    long micros = Math.max(0, nanos / NANOS_PER_MICRO);
    histogram.recordValue(Math.min(GREATEST_US, micros));
  }

  /**
   * Adds all times of another histogram.
   *
   * @param other the other histogram
   */
  public void add(TimeHistogram other) {
    histogram.add(other.histogram);
  }

  /**
   * Sums up the times counted.
   *
   * @return the percentiles
   */
  public Percentiles percentiles() {
    if (histogram.getTotalCount() == 0) {
      return new Percentiles(0, 0, 0, 0, 0, 0, 0);
    }
    return new Percentiles(
        histogram.getTotalCount(),
        round(histogram.getMean()),
        at(50),
        at(95),
        at(99),
        at(99.9),
        round(histogram.getMaxValue()));
  }

  private double at(double percentile) {
    return round(histogram.getValueAtPercentile(percentile));
  }

  /** Turns microseconds into milliseconds with three places. */
  private static double round(double micros) {
    return Math.round(micros) / MICROS_PER_MILLI;
  }
}
