package org.sequoiareach.daemon.measure;

import com.codahale.metrics.Snapshot;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.stream.StreamSupport;
import org.HdrHistogram.Histogram;

/** A snapshot backed by a histogram that is no longer modified. Values are in nanoseconds. */
final class HistogramSnapshot extends Snapshot {

  private static final double PERCENT = 100.0;

  private final Histogram histogram;

  HistogramSnapshot(Histogram histogram) {
    this.histogram = histogram;
  }

  @Override
  public double getValue(double quantile) {
    return histogram.getValueAtPercentile(quantile * PERCENT);
  }

  /** Returns the distinct recorded values in ascending order. */
  @Override
  public long[] getValues() {
    return StreamSupport.stream(histogram.recordedValues().spliterator(), false)
        .mapToLong(step -> step.getValueIteratedTo())
        .toArray();
  }

  @Override
  public int size() {
    return (int) Math.min(histogram.getTotalCount(), Integer.MAX_VALUE);
  }

  @Override
  public long getMax() {
    return histogram.getMaxValue();
  }

  @Override
  public double getMean() {
    return histogram.getMean();
  }

  @Override
  public long getMin() {
    return histogram.getTotalCount() == 0 ? 0 : histogram.getMinValue();
  }

  @Override
  public double getStdDev() {
    return histogram.getStdDeviation();
  }

  @Override
  public void dump(OutputStream output) {
    PrintStream lines = new PrintStream(output, false, StandardCharsets.UTF_8);
    for (long value : getValues()) {
      lines.println(value);
    }
    lines.flush();
  }
}
