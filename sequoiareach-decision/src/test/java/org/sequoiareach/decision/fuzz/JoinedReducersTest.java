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
 * Injects random faults into a simulated cluster of three reducers.
 *
 * <p>The load consists of streamed and complete generations and non-repeatable service calls. The
 * tests fail if callers or targets observe a broken guarantee, such as a repeated or missing token,
 * a call that ran twice, new work on a leaving target, or a request without a final answer.
 */
class JoinedReducersTest {

  @Property(tries = 150, seed = "20261203", shrinking = ShrinkingMode.BOUNDED)
  void guaranteesHoldUnderRandomFaults(
      @ForAll("scripts") List<FaultStep> script, @ForAll("seeds") long seed) {
    Scenario scenario = new Scenario(seed, EnumSet.noneOf(SafetyMechanism.class));
    scenario.run(script);
    assertThat(scenario.checker().violations()).as("seed %d, script %s", seed, script).isEmpty();
    assertThat(scenario.checker().finishedCount()).isPositive();
  }

  /**
   * Runs {@code -Dfuzz.scripts} random scripts with consecutive seeds from {@code -Dfuzz.first}. A
   * failure names the seed.
   */
  @Example
  void longRun() {
    int scripts = Integer.getInteger("fuzz.scripts", 0);
    long first = Long.getLong("fuzz.first", 1);
    for (long seed = first; seed < first + scripts; seed++) {
      List<FaultStep> script = randomScript(new SplittableRandom(seed));
      Scenario scenario = new Scenario(seed, EnumSet.noneOf(SafetyMechanism.class));
      scenario.run(script);
      assertThat(scenario.checker().violations())
          .as("-Dfuzz.first=%d -Dfuzz.scripts=1, script %s", seed, script)
          .isEmpty();
    }
  }

  private static List<FaultStep> randomScript(SplittableRandom random) {
    FaultStep.Fault[] faults = FaultStep.Fault.values();
    return Stream.generate(
            () ->
                new FaultStep(
                    faults[random.nextInt(faults.length)],
                    random.nextInt(6),
                    100 + random.nextInt(8_900)))
        .limit(1 + random.nextInt(14))
        .toList();
  }

  /** Without any one mechanism some guarantee is broken, and the checker detects it. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void checkerDetectsMissingMechanism(@ForAll SafetyMechanism mechanism) {
    List<FaultStep> script = scriptExposing(mechanism);
    boolean detected = false;
    for (long seed = 1; seed <= 40 && !detected; seed++) {
      Scenario scenario = new Scenario(seed, EnumSet.of(mechanism));
      scenario.run(script);
      detected = !scenario.checker().violations().isEmpty();
    }
    assertThat(detected).as("a broken guarantee without %s", mechanism).isTrue();
  }

  /** Returns a script that breaks a guarantee if a mechanism is disabled. */
  private static List<FaultStep> scriptExposing(SafetyMechanism mechanism) {
    List<FaultStep.Fault> faults =
        switch (mechanism) {
          case PAUSE_DETECTION ->
              List.of(FaultStep.Fault.PAUSE_DAEMON, FaultStep.Fault.LEAVE_TARGET);
          case SEND_DEADLINE ->
              List.of(FaultStep.Fault.PAUSE_AFTER_DECISION, FaultStep.Fault.LEAVE_TARGET);
          case DRAIN -> List.of(FaultStep.Fault.STOP_DAEMON);
          default -> List.of(FaultStep.Fault.CUT_TARGET, FaultStep.Fault.CUT_DAEMONS);
        };
    boolean cuts = faults.contains(FaultStep.Fault.CUT_TARGET);
    List<FaultStep> script = new ArrayList<>();
    for (int subject = 0; subject < 3; subject++) {
      for (FaultStep.Fault fault : faults) {
        script.add(new FaultStep(fault, subject, cuts ? 150 : 7_000));
      }
    }
    return script;
  }

  @Provide
  Arbitrary<Long> seeds() {
    return Arbitraries.longs().between(1, 1_000_000);
  }

  @Provide
  Arbitrary<List<FaultStep>> scripts() {
    Arbitrary<FaultStep> step =
        Combinators.combine(
                Arbitraries.of(FaultStep.Fault.values()),
                Arbitraries.integers().between(0, 5),
                Arbitraries.integers().between(100, 9_000))
            .as(FaultStep::new);
    return step.list().ofMinSize(1).ofMaxSize(14);
  }
}
