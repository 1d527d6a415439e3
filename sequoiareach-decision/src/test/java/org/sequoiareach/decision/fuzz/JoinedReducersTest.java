package org.sequoiareach.decision.fuzz;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/**
 * Drives three reducers joined by queues through random faults, under a steady load of streams,
 * whole answers and calls that may not be repeated, and holds what callers and targets saw against
 * the oracle.
 */
class JoinedReducersTest {

  @Property(tries = 150, seed = "20261203", shrinking = ShrinkingMode.BOUNDED)
  void guaranteesHoldUnderAnyFaults(
      @ForAll("scripts") List<Step> script, @ForAll("seeds") long seed) {
    Scenario scenario = new Scenario(seed, EnumSet.noneOf(Mechanism.class));
    scenario.run(script);
    assertThat(scenario.oracle().violations()).as("seed %d, script %s", seed, script).isEmpty();
    assertThat(scenario.oracle().finishedCount()).isPositive();
  }

  /** Runs as many scripts as {@code -Dfuzz.scripts} says, each from a seed that it prints. */
  @Example
  void longRun() {
    int scripts = Integer.getInteger("fuzz.scripts", 0);
    long first = Long.getLong("fuzz.first", 1);
    for (long seed = first; seed < first + scripts; seed++) {
      List<Step> script = draw(new SplittableRandom(seed));
      Scenario scenario = new Scenario(seed, EnumSet.noneOf(Mechanism.class));
      scenario.run(script);
      assertThat(scenario.oracle().violations())
          .as("-Dfuzz.first=%d -Dfuzz.scripts=1, script %s", seed, script)
          .isEmpty();
    }
  }

  private static List<Step> draw(SplittableRandom random) {
    Step.Fault[] faults = Step.Fault.values();
    return Stream.generate(
            () ->
                new Step(
                    faults[random.nextInt(faults.length)],
                    random.nextInt(6),
                    100 + random.nextInt(8_900)))
        .limit(1 + random.nextInt(14))
        .toList();
  }

  /** Each mechanism is needed: with it switched off the oracle sees a guarantee broken. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void oracleSeesWhatEachMechanismPrevents(@ForAll Mechanism mechanism) {
    List<Step> script = telling(mechanism);
    boolean seen = false;
    for (long seed = 1; seed <= 40 && !seen; seed++) {
      Scenario scenario = new Scenario(seed, EnumSet.of(mechanism));
      scenario.run(script);
      seen = !scenario.oracle().violations().isEmpty();
    }
    assertThat(seen).as("a broken guarantee without %s", mechanism).isTrue();
  }

  /** Returns a script under which the absence of a mechanism tells. */
  private static List<Step> telling(Mechanism mechanism) {
    List<Step.Fault> faults =
        switch (mechanism) {
          case PAUSE_DETECTION -> List.of(Step.Fault.FREEZE_DAEMON, Step.Fault.LEAVE_TARGET);
          case SEND_BOUND -> List.of(Step.Fault.FREEZE_AFTER_DECISION, Step.Fault.LEAVE_TARGET);
          case DRAIN -> List.of(Step.Fault.STOP_DAEMON);
          default -> List.of(Step.Fault.CUT_TARGET, Step.Fault.CUT_DAEMONS);
        };
    boolean cuts = faults.contains(Step.Fault.CUT_TARGET);
    List<Step> script = new ArrayList<>();
    for (int subject = 0; subject < 3; subject++) {
      for (Step.Fault fault : faults) {
        script.add(new Step(fault, subject, cuts ? 150 : 7_000));
      }
    }
    return script;
  }

  @Provide
  Arbitrary<Long> seeds() {
    return Arbitraries.longs().between(1, 1_000_000);
  }

  @Provide
  Arbitrary<List<Step>> scripts() {
    Arbitrary<Step> step =
        Combinators.combine(
                Arbitraries.of(Step.Fault.values()),
                Arbitraries.integers().between(0, 5),
                Arbitraries.integers().between(100, 9_000))
            .as(Step::new);
    return step.list().ofMinSize(1).ofMaxSize(14);
  }
}
