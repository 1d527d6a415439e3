package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DrainAdmissionTest {

  private static final long STARTED_MS = 10_000;

  private final DrainAdmission admission = new DrainAdmission(STARTED_MS, STARTED_MS + 7_600);

  // The columns: time since the stop began, expected and longest duration of the stream, other
  // daemons of the zone that take callers, and the most daemons seen in the zone.
  @ParameterizedTest
  @CsvSource({
    "500, 2000, 4000, 1, 2",
    "500, 2000, 4000, 0, 1",
    "5000, 1000, 2500, 0, 2",
  })
  void takesWhatEndsInTime(long after, long expected, long longest, int taking, int most) {
    assertThat(retryAfter(after, expected, longest, taking, most)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"500, 7000, 15000, 1, 2", "2900, 4000, 15000, 0, 1"})
  void takesWhatIsLikelyToEndInTimeFromCallersThatCannotKnow(
      long after, long expected, long longest, int taking, int most) {
    assertThat(retryAfter(after, expected, longest, taking, most)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"500, 9000, 15000, 1, 2", "2000, 9000, 15000, 2, 3", "4000, 9000, 15000, 1, 2"})
  void sendsLongStreamToTheOthersOfTheZone(
      long after, long expected, long longest, int taking, int most) {
    assertThat(retryAfter(after, expected, longest, taking, most))
        .hasValueSatisfying(pause -> assertThat(pause).isLessThan(100));
  }

  @ParameterizedTest
  @CsvSource({
    // The zone's callers go to other zones once the balancer has noticed.
    "500, 20000, 25000, 0, 1, 1800",
    "4000, 9000, 25000, 0, 2, 20",
    // The zone's callers come back to daemons that stop, until those have started again.
    "4000, 9000, 25000, 1, 3, 5100",
    // It may be in time, but its caller must not lose it.
    "4000, 3000, 25000, 1, 3, 5100",
  })
  void tellsWhenTheCallerIsServed(
      long after, long expected, long longest, int taking, int most, long retryAfterMs) {
    assertThat(retryAfter(after, expected, longest, taking, most)).hasValue(retryAfterMs);
  }

  private Optional<Long> retryAfter(long after, long expected, long longest, int taking, int most) {
    return admission.findRetryAfter(
        STARTED_MS + after, expected, longest, new ZoneDaemons(taking, most));
  }
}
