package org.sequoiareach.daemon.measure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.codahale.metrics.Clock;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LatencyRegistryTest {

  private static final Percentage RESOLUTION = Percentage.withPercentage(1);

  private long nowNanos;
  private final MetricRegistry registry =
      new LatencyRegistry(
          new Clock() {
            @Override
            public long getTick() {
              return nowNanos;
            }
          });

  @ParameterizedTest
  @CsvSource({"0.5, 50000", "0.95, 95000", "0.99, 99000", "0.999, 99900", "0.9999, 99990"})
  void recordsEveryValue(double quantile, long expectedMicros) {
    Timer timer = registry.timer("call");
    LongStream.rangeClosed(1, 100_000).forEach(us -> timer.update(us, TimeUnit.MICROSECONDS));

    double nanos = timer.getSnapshot().getValue(quantile);

    assertThat(nanos).isCloseTo(TimeUnit.MICROSECONDS.toNanos(expectedMicros), RESOLUTION);
    assertThat(timer.getSnapshot().size()).isEqualTo(100_000);
  }

  @Test
  void discardsValuesOlderThanTwoIntervals() {
    Timer timer = registry.timer("call");
    timer.update(5, TimeUnit.SECONDS);
    nowNanos += HistogramReservoir.INTERVAL_NANOS;
    timer.update(1, TimeUnit.MILLISECONDS);
    assertThat(timer.getSnapshot().size()).isEqualTo(2);

    nowNanos += HistogramReservoir.INTERVAL_NANOS;
    assertThat(timer.getSnapshot().size()).isEqualTo(2);
    assertThat(timer.getSnapshot().size()).isZero();
    assertThat(timer.getCount()).isEqualTo(2);
  }

  @Test
  void clampsDurationsOutsideRange() {
    Timer timer = registry.timer("call");
    timer.update(1, TimeUnit.HOURS);
    timer.update(1, TimeUnit.NANOSECONDS);

    assertThat(timer.getSnapshot().getMax())
        .isCloseTo(HistogramReservoir.HIGHEST_NANOS, RESOLUTION);
    assertThat(timer.getSnapshot().getMin()).isLessThan(HistogramReservoir.LOWEST_NANOS);
  }

  @Test
  void reportsZeroForEmptyTimer() {
    Timer timer = registry.timer("call");

    assertThat(timer.getSnapshot().getMedian()).isCloseTo(0, within(0.0));
    assertThat(timer.getSnapshot().getMin()).isZero();
    assertThat(timer.getSnapshot().getValues()).isEmpty();
  }

  @Test
  void returnsSameTimerForSameName() {
    assertThat(registry.timer("call")).isSameAs(registry.timer("call"));
  }
}
