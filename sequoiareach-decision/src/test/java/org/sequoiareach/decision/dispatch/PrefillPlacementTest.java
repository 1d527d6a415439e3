package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.fleet.TargetUseTracker;

/** Tests the placement of calls while only a few engines are left. */
class PrefillPlacementTest {

  private static final long MEMORY = DispatchFixture.TRAITS.memoryTokens();

  private PlacementStrategy placement = new PrefillPlacement(new RunDurationEstimator());
  private TargetUseTracker targetUse = new TargetUseTracker();
  private int sequence;

  @ParameterizedTest
  @CsvSource({"1", "3"})
  void limitsLongRunsToEngineMemory(int engines) {
    int admitted = 0;
    while (place(engines, longRun())) {
      admitted++;
    }

    long fitting = MEMORY / longRun().expectedMemoryTokens();
    assertThat(admitted).isBetween((int) (engines * fitting), (int) (engines * fitting * 1.3));
  }

  @Test
  void admitsShortRunWhereNoLongRunFits() {
    while (place(3, longRun())) {
      sequence++;
    }

    assertThat(place(3, shortRun())).isTrue();
    assertThat(place(3, longRun())).isFalse();
  }

  @Test
  void treatsRunAsShortByTheObservedSpeedOfEngines() {
    RunDurationEstimator fast = new RunDurationEstimator();
    RunDurationEstimator slow = new RunDurationEstimator();
    for (int i = 0; i < 50; i++) {
      fast.recordDecode(longRun(), 936 * 1);
      slow.recordDecode(shortRun(), 14 * 200);
    }

    assertThat(admittedOnOneEngine(fast, longRun()))
        .isGreaterThan(admittedOnOneEngine(new RunDurationEstimator(), longRun()));
    assertThat(admittedOnOneEngine(slow, shortRun()))
        .isLessThan(admittedOnOneEngine(new RunDurationEstimator(), shortRun()));
  }

  private int admittedOnOneEngine(RunDurationEstimator durations, GenerationDemand demand) {
    targetUse = new TargetUseTracker();
    placement = new PrefillPlacement(durations);
    int admitted = 0;
    while (place(1, demand)) {
      admitted++;
    }
    return admitted;
  }

  @Test
  void admitsOversizedRunOnIdleEngine() {
    GenerationDemand large =
        new GenerationDemand("m", 2 * MEMORY, 500, OptionalLong.empty(), List.of());

    assertThat(place(1, large)).isTrue();
  }

  private boolean place(int engines, GenerationDemand demand) {
    List<Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      var target = DispatchFixture.target(DispatchFixture.ENGINES, i, 24);
      candidates.add(
          new Candidate(
              target, true, targetUse.useOf(target.id()), Optional.of(DispatchFixture.TRAITS)));
    }
    sequence++;
    Optional<Candidate> chosen = placement.choose(Optional.of(demand), candidates, sequence);
    chosen.ifPresent(
        to ->
            targetUse.add(
                "c" + sequence,
                to.target().id(),
                demand.promptTokens(),
                demand.expectedMemoryTokens()));
    return chosen.isPresent();
  }

  private static GenerationDemand longRun() {
    return new GenerationDemand("m", 3_079, 2_216, OptionalLong.of(936), List.of());
  }

  private static GenerationDemand shortRun() {
    return new GenerationDemand("m", 2_550, 48, OptionalLong.of(14), List.of());
  }
}
