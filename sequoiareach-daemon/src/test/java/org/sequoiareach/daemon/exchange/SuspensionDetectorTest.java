package org.sequoiareach.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the detection of suspensions with injected clocks. */
class SuspensionDetectorTest {

  private static final long START_MS = 1_000_000;

  private final AtomicLong monotonicMs = new AtomicLong(START_MS);
  private final AtomicLong wallClockMs = new AtomicLong(7 * START_MS);
  private final SuspensionDetector detector =
      new SuspensionDetector(monotonicMs::get, wallClockMs::get);

  @ParameterizedTest
  @CsvSource({
    "5000, 5000, 0",
    "0, 249, 0",
    "0, 250, 250",
    "100, 3100, 3000",
    "100, -3000, 0",
    "5000, 0, 0"
  })
  void countsOnlyTimeThatMonotonicClockDoesNotShow(
      long monotonicStepMs, long wallClockStepMs, long suspendedMs) {
    advance(monotonicStepMs, wallClockStepMs);

    assertThat(detector.totalSuspendedMs()).isEqualTo(suspendedMs);
    assertThat(detector.wasSuspendedSince(0)).isEqualTo(suspendedMs > 0);
    assertThat(detector.wasSuspendedSince(suspendedMs)).isFalse();
  }

  @Test
  void detectsSuspensionAfterBackwardStepOfWallClock() {
    advance(100, -60_000);
    long totalMs = detector.totalSuspendedMs();

    advance(0, 3_000);

    assertThat(detector.wasSuspendedSince(totalMs)).isTrue();
  }

  @Test
  void countsReturnOfWallClockAsSuspension() {
    advance(100, -3_000);
    long totalMs = detector.totalSuspendedMs();

    advance(100, 3_200);

    assertThat(detector.wasSuspendedSince(totalMs)).isTrue();
  }

  private void advance(long monotonicStepMs, long wallClockStepMs) {
    monotonicMs.addAndGet(monotonicStepMs);
    wallClockMs.addAndGet(wallClockStepMs);
  }
}
