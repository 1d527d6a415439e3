package org.sequoiareach.decision.hedge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LatencyTrackerTest {

  private final LatencyTracker tracker = new LatencyTracker();

  /** Guards against delays that are off by more than the width of a bucket. */
  @ParameterizedTest
  @CsvSource({"0.5, 50", "0.8, 80", "0.95, 95", "0.98, 98"})
  void statesQuantileWithinOneBucket(double quantile, long expectedMs) {
    for (int ms = 1; ms <= 100; ms++) {
      tracker.record(0, ms);
    }
    assertThat(tracker.quantileMs(0, quantile).orElseThrow())
        .isBetween(expectedMs, Math.round(expectedMs * 1.1) + 1);
  }

  /** Guards against hedging on the first few answers, which may all be slow or fast. */
  @Test
  void statesNothingOnFewAnswers() {
    for (int i = 0; i < 7; i++) {
      tracker.record(0, 20);
    }
    assertThat(tracker.quantileMs(0, 0.9)).isEmpty();
    tracker.record(0, 20);
    assertThat(tracker.quantileMs(0, 0.9)).isPresent();
  }

  /** Guards against delays that belong to a load that is over. */
  @Test
  void forgetsOldAnswers() {
    for (int i = 0; i < 100; i++) {
      tracker.record(0, 20);
    }
    long laterMs = 5 * LatencyTracker.HALF_LIFE_MS;
    for (int i = 0; i < 100; i++) {
      tracker.record(laterMs, 400);
    }
    assertThat(tracker.quantileMs(laterMs, 0.5).orElseThrow()).isBetween(400L, 441L);
    assertThat(tracker.quantileMs(100 * LatencyTracker.HALF_LIFE_MS, 0.5))
        .isEqualTo(OptionalLong.empty());
  }

  /** Guards against an index beyond the histogram. */
  @ParameterizedTest
  @CsvSource({"-5", "0", "9000000000"})
  void acceptsAnyTime(long answerMs) {
    for (int i = 0; i < 10; i++) {
      tracker.record(0, answerMs);
    }
    assertThat(tracker.quantileMs(0, 0.5)).isPresent();
  }
}
