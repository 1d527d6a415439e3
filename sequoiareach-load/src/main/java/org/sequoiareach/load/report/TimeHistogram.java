package org.sequoiareach.load.report;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * A histogram of durations from a microsecond to an hour with three significant digits. Not
 * thread-safe.
 */
public final class TimeHistogram {

  private static final long MAX_DURATION_US = TimeUnit.HOURS.toMicros(1);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final int NANOS_PER_MICRO = 1_000;

  private final Histogram histogram = new Histogram(MAX_DURATION_US, SIGNIFICANT_DIGITS);

  /**
   * Records a duration.
   *
   * @param nanos the duration in nanoseconds, clamped to between 0 and one hour
   */
  public void record(long nanos) {
    long micros = Math.max(0, nanos / NANOS_PER_MICRO);
    histogram.recordValue(Math.min(MAX_DURATION_US, micros));
  }

  /**
   * Adds all durations of another histogram.
   *
   * @param other the other histogram
   */
  public void add(TimeHistogram other) {
    histogram.add(other.histogram);
  }

  /**
   * Returns the percentiles of the recorded durations.
   *
   * @return the percentiles in milliseconds
   */
  public Percentiles percentiles() {
    if (histogram.getTotalCount() == 0) {
      return new Percentiles(0, 0, 0, 0, 0, 0, 0);
    }
    return new Percentiles(
        histogram.getTotalCount(),
        toMillis(histogram.getMean()),
        percentileMs(50),
        percentileMs(95),
        percentileMs(99),
        percentileMs(99.9),
        toMillis(histogram.getMaxValue()));
  }

  private double percentileMs(double percentile) {
    return toMillis(histogram.getValueAtPercentile(percentile));
  }

  /** Converts microseconds to milliseconds with three decimal places. */
  private static double toMillis(double micros) {
    return Math.round(micros) / MICROS_PER_MILLI;
  }
}
