package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DrainAdmissionTest {

  private static final long STARTED_MS = 10_000;

  private final DrainAdmission admission = new DrainAdmission(STARTED_MS, STARTED_MS + 7_600);

  // Columns: time since the start of the drain, expected and maximum duration of the stream (ms),
  // other daemons of the zone that accept callers, and the highest number of daemons seen there.
  @ParameterizedTest
  @CsvSource({
    "500, 2000, 4000, 1, 2",
    "500, 2000, 4000, 0, 1",
    "5000, 1000, 2500, 0, 2",
  })
  void admitsStreamThatEndsInTime(long after, long expected, long longest, int taking, int most) {
    assertThat(retryAfter(after, expected, longest, taking, most)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"500, 7000, 15000, 1, 2", "2900, 4000, 15000, 0, 1"})
  void admitsStreamExpectedToEndInTimeDuringDiscoveryTime(
      long after, long expected, long longest, int taking, int most) {
    assertThat(retryAfter(after, expected, longest, taking, most)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"500, 9000, 15000, 1, 2", "2000, 9000, 15000, 2, 3", "4000, 9000, 15000, 1, 2"})
  void refersLongStreamToOtherDaemonsOfZone(
      long after, long expected, long longest, int taking, int most) {
    assertThat(retryAfter(after, expected, longest, taking, most))
        .hasValueSatisfying(delayMs -> assertThat(delayMs).isLessThan(100));
  }

  @ParameterizedTest
  @CsvSource({
    // Callers of the zone go to other zones once the load balancer has excluded its daemons.
    "500, 20000, 25000, 0, 1, 1800",
    "4000, 9000, 25000, 0, 2, 20",
    // Callers of the zone reach draining daemons until those have restarted.
    "4000, 9000, 25000, 1, 3, 5100",
    // The stream is expected to end in time, but a caller that could know of the drain must not
    // lose it.
    "4000, 3000, 25000, 1, 3, 5100",
  })
  void returnsDelayUntilCallerCanBeServed(
      long after, long expected, long longest, int taking, int most, long retryAfterMs) {
    assertThat(retryAfter(after, expected, longest, taking, most)).hasValue(retryAfterMs);
  }

  private Optional<Long> retryAfter(long after, long expected, long longest, int taking, int most) {
    return admission.findRetryAfter(
        STARTED_MS + after, expected, longest, new ZoneDaemonCounts(taking, most));
  }
}
