package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DrainAdmissionTest {

  private static final long STARTED_MS = 10_000;

  private final DrainAdmission admission = new DrainAdmission(STARTED_MS, STARTED_MS + 7_600);

  // Columns: time since the start of the drain, expected duration of the call and time to its
  // deadline (ms), other daemons of the zone that accept callers, and the highest number of daemons
  // seen there.
  @ParameterizedTest
  @CsvSource({
    "500, 2000, 4000, 1, 2",
    "500, 2000, 4000, 0, 1",
    "5000, 1000, 2500, 0, 2",
    "5000, 9000, 2600, 0, 2",
  })
  void admitsCallWhoseDeadlineLiesBeforeTheStop(
      long after, long expected, long deadline, int taking, int most) {
    assertThat(retryAfter(after, expected, deadline, taking, most)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"500, 7000, 15000, 1, 2", "2400, 4000, 15000, 0, 1"})
  void admitsCallExpectedToEndInTimeDuringDiscoveryTime(
      long after, long expected, long deadline, int taking, int most) {
    assertThat(retryAfter(after, expected, deadline, taking, most)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"500, 9000, 15000, 1, 2", "2000, 9000, 15000, 2, 3", "4000, 9000, 15000, 1, 2"})
  void refersLongCallToOtherDaemonsOfZone(
      long after, long expected, long deadline, int taking, int most) {
    assertThat(retryAfter(after, expected, deadline, taking, most))
        .hasValueSatisfying(delayMs -> assertThat(delayMs).isLessThan(100));
  }

  /** Guards against late calls that are cut because their average duration would have fitted. */
  @ParameterizedTest
  @CsvSource({"2500, 0, 5101", "3000, 10, 39000", "5000, 1000, 2601", "7500, 0, 101"})
  void refusesLateCallWhoseDeadlineLiesBehindTheStop(long after, long expected, long deadline) {
    assertThat(retryAfter(after, expected, deadline, 1, 2)).isPresent();
  }

  @ParameterizedTest
  @CsvSource({
    // Callers of the zone go to other zones once the load balancer has excluded its daemons.
    "500, 20000, 25000, 0, 1, 1800",
    "4000, 9000, 25000, 0, 2, 20",
    // Callers of the zone reach draining daemons until those have restarted.
    "4000, 9000, 25000, 1, 3, 5100",
    // The call is expected to end in time, but a caller that could know of the drain must not
    // lose it.
    "4000, 3000, 25000, 1, 3, 5100",
  })
  void returnsDelayUntilCallerCanBeServed(
      long after, long expected, long deadline, int taking, int most, long retryAfterMs) {
    assertThat(retryAfter(after, expected, deadline, taking, most)).hasValue(retryAfterMs);
  }

  private Optional<Long> retryAfter(
      long after, long expected, long deadline, int taking, int most) {
    long nowMs = STARTED_MS + after;
    return admission.findRetryAfter(
        nowMs, nowMs + expected, nowMs + deadline, new ZoneDaemonCounts(taking, most));
  }
}
