package org.sequoiareach.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.model.quarantine.CrashReport;
import org.sequoiareach.model.quarantine.RequestTraits;
import org.sequoiareach.model.route.RoutedTarget;

class CrashDetectorTest {

  private static final RequestTraits RUN =
      RequestTraits.of("llm", Optional.of("mill"), List.of("a"), Optional.empty());

  private static final CrashReport TOLD_REPORT =
      new CrashReport("i-1", 1, "llm", "d2", 100, List.of(RUN));

  private final CrashDetector detector = new CrashDetector("d1");

  /** What is observed after connections to a target broke off. */
  private enum Observation {
    NOBODY_THERE(detector -> detector.onNobodyThere("i-1")),
    ENTRY_REMOVED(detector -> detector.onRemoved("i-1")),
    NEW_INCARNATION(detector -> detector.onListed(target(2))),
    TOLD(detector -> detector.onReported(TOLD_REPORT));

    private final Function<CrashDetector, Optional<CrashReport>> action;

    Observation(Function<CrashDetector, Optional<CrashReport>> action) {
      this.action = action;
    }
  }

  @ParameterizedTest
  @EnumSource(Observation.class)
  void reportsCrashWithRunsThatBrokeOff(Observation observation) {
    detector.addBrokenRun(100, target(1), RUN);
    detector.addBrokenRun(104, target(1), RUN);

    assertThat(observation.action.apply(detector))
        .contains(new CrashReport("i-1", 1, "llm", "d1", 100, List.of(RUN)));
    assertThat(observation.action.apply(detector)).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(Observation.class)
  void reportsNothingWithoutRunsThatBrokeOff(Observation observation) {
    assertThat(observation.action.apply(detector)).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(Observation.class)
  void forgetsRunsIfNothingShowsThatTheirTargetCrashed(Observation observation) {
    detector.addBrokenRun(100, target(1), RUN);

    detector.expire(101 + CrashDetector.CONFIRMATION_MS);

    assertThat(observation.action.apply(detector)).isEmpty();
  }

  @Test
  void takesRemovalOfTargetThatAcceptedConnectionForItsLeaving() {
    detector.addBrokenRun(100, target(1), RUN);
    detector.onReached("i-1");

    assertThat(detector.onRemoved("i-1")).isEmpty();
    assertThat(detector.onListed(target(2))).isPresent();
  }

  @Test
  void ignoresListedTargetOfSameIncarnation() {
    detector.addBrokenRun(100, target(1), RUN);

    assertThat(detector.onListed(target(1))).isEmpty();
  }

  @Test
  void runsOneProbeOfEachIncarnation() {
    assertThat(detector.addBrokenRun(100, target(1), RUN)).isTrue();
    assertThat(detector.addBrokenRun(101, target(1), RUN)).isFalse();
    assertThat(detector.addBrokenRun(102, target(2), RUN)).isTrue();
    detector.onReached("i-1");
    assertThat(detector.addBrokenRun(103, target(2), RUN)).isTrue();
  }

  private static RoutedTarget target(long incarnation) {
    return new RoutedTarget("i-1", incarnation, "llm", "10.0.0.9:80", "z1", 4, false);
  }
}
