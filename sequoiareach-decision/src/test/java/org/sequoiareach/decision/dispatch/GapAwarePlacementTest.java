package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sequoiareach.decision.speed.EngineSlowness;
import org.sequoiareach.decision.speed.StepTimeEstimator;
import org.sequoiareach.model.route.TargetUse;

/** Tests the placement of runs while some engines are known to be slow. */
class GapAwarePlacementTest {

  private static final long GAP_MS = 180;
  private static final long LATENCY_MS = 1_500;
  private static final long MEMORY = DispatchFixture.TRAITS.memoryTokens();
  private static final EngineSlowness FAST = new EngineSlowness(0.8, 0.8, 0.8);
  private static final EngineSlowness SLOW = new EngineSlowness(1.8, 1.8, 1.8);

  private final PrefillPlacement baseline = new PrefillPlacement(new RunDurationEstimator());
  private final List<Candidate> candidates = new ArrayList<>();

  /** Guards against a different choice where nothing is known that would justify it. */
  @Property
  void choosesLikeBaselineUnlessAnEngineIsSlow(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Candidate> equal = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      TargetUse use =
          new TargetUse(random.nextInt(40), random.nextLong(9_000), random.nextLong(2 * MEMORY));
      double relative = random.nextDouble(0.5, 1.24);
      EngineSlowness slowness = new EngineSlowness(relative, relative, relative);
      equal.add(candidate(i, use, random.nextBoolean() ? Optional.of(slowness) : Optional.empty()));
    }
    Optional<GenerationDemand> run = Optional.of(random.nextBoolean() ? longRun() : shortRun());
    long draw = random.nextLong();

    assertThat(placement(LATENCY_MS).choose(run, equal, draw))
        .isEqualTo(baseline.choose(run, equal, draw));
  }

  /** Guards against a stream with pauses although a busier engine would avoid them. */
  @Test
  void longRunAvoidsSlowEngine() {
    add(SLOW, TargetUse.NONE);
    add(FAST, new TargetUse(5, 2_000, MEMORY / 2));

    assertThat(choose(longRun())).isEqualTo(candidates.get(1));
  }

  /** Guards against refusing or delaying a run for the sake of its gaps. */
  @Test
  void longRunTakesSlowEngineIfOthersHaveNoRoom() {
    add(SLOW, TargetUse.NONE);
    add(FAST, new TargetUse(8, 0, 2 * MEMORY));
    assertThat(choose(longRun())).isEqualTo(candidates.get(0));

    candidates.set(1, candidate(1, new TargetUse(8, 30_000, MEMORY / 2), Optional.of(FAST)));
    assertThat(choose(longRun())).isEqualTo(candidates.get(0));
  }

  /** Guards against short runs that occupy the fast engines while long runs need them. */
  @Test
  void shortRunPrefersSlowEngineOnceFastOnesAreNeeded() {
    add(SLOW, TargetUse.NONE);
    add(FAST, new TargetUse(0, 0, MEMORY / 4));
    assertThat(choose(shortRun())).isEqualTo(candidates.get(1));

    candidates.set(1, candidate(1, new TargetUse(0, 0, MEMORY * 8 / 10), Optional.of(FAST)));
    assertThat(choose(shortRun())).isEqualTo(candidates.get(0));
  }

  /** Guards against short runs that are late because they make room for long ones. */
  @Test
  void shortRunAvoidsSlowEngineOnWhichItWouldBeLate() {
    add(SLOW, TargetUse.NONE);
    add(FAST, new TargetUse(0, 0, MEMORY * 8 / 10));

    assertThat(placement(900).choose(Optional.of(shortRun()), candidates, 0))
        .contains(candidates.get(1));
  }

  /** Guards against a prefill that parts the events of the long runs on a slow engine. */
  @Test
  void placesNoPrefillWhereLongRunsWouldExceedTheirGap() {
    add(SLOW, new TargetUse(2, 0, 8_000));
    add(FAST, new TargetUse(6, 4_000, MEMORY * 8 / 10));

    assertThat(choose(shortRun())).isEqualTo(candidates.get(1));
  }

  /** Guards against keeping demand in a zone whose engines are busier or slower. */
  @Test
  void demandOverflowsToAnotherZone() {
    add(SLOW, TargetUse.NONE);
    add(FAST, new TargetUse(3, 500, 9_000));
    candidates.add(
        new Candidate(
            DispatchFixture.target(DispatchFixture.ENGINES, 2, 24),
            false,
            new TargetUse(3, 0, 9_000),
            Optional.of(DispatchFixture.TRAITS),
            Optional.of(FAST)));

    assertThat(choose(longRun())).isEqualTo(candidates.get(2));
    assertThat(choose(shortRun())).isEqualTo(candidates.get(2));
  }

  private Candidate choose(GenerationDemand run) {
    return placement(LATENCY_MS).choose(Optional.of(run), candidates, 0).orElseThrow();
  }

  private GapAwarePlacement placement(long firstEventMs) {
    return new GapAwarePlacement(
        baseline, new GapForecast(new StepTimeEstimator()), GAP_MS, firstEventMs);
  }

  private void add(EngineSlowness slowness, TargetUse use) {
    candidates.add(candidate(candidates.size(), use, Optional.of(slowness)));
  }

  private static Candidate candidate(int number, TargetUse use, Optional<EngineSlowness> slowness) {
    return new Candidate(
        DispatchFixture.target(DispatchFixture.ENGINES, number, 24),
        true,
        use,
        Optional.of(DispatchFixture.TRAITS),
        slowness);
  }

  private static GenerationDemand longRun() {
    return new GenerationDemand("m", 3_000, 1_500, OptionalLong.of(750), List.of());
  }

  private static GenerationDemand shortRun() {
    return new GenerationDemand("m", 2_200, 16, OptionalLong.of(8), List.of());
  }
}
