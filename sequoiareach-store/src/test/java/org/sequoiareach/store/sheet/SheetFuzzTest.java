package org.sequoiareach.store.sheet;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Guards against reads that mix two versions or go back to an older one, when exports and reads
 * race on a key-value service that loses and delays calls.
 */
class SheetFuzzTest {

  private static final int OPERATORS = 3;

  @Property(tries = 500, seed = "20261203")
  void versionsAreCompleteAndNeverDecrease(
      @ForAll("histories") ActionChain<SheetExportSimulation> history) {
    SheetExportSimulation simulation =
        history.withInvariant(SheetExportSimulation::assertNoViolation).run();
    simulation.recoverAndCheckSheet();
    simulation.assertNoViolation();
  }

  @AfterTry
  void resetTime() {
    VirtualTimeScheduler.reset();
  }

  @Provide
  Arbitrary<ActionChain<SheetExportSimulation>> histories() {
    return ActionChain.startWith(SheetExportSimulation::new)
        .withAction(5, operatorAction("export", SheetExportSimulation::export))
        .withAction(5, operatorAction("read", SheetExportSimulation::read))
        .withAction(5, numberedAction("wait", 2_000, (simulation, ms) -> simulation.advance(ms)))
        .withAction(
            1,
            numberedAction(
                "advance wall clock by hours", 3, SheetExportSimulation::advanceWallClock))
        .withAction(2, faults())
        .withMaxTransformations(40);
  }

  /** Applies one step to the simulation, parameterized by a number. */
  private interface Step {
    void apply(SheetExportSimulation simulation, int number);
  }

  private static Action.Independent<SheetExportSimulation> operatorAction(String label, Step step) {
    return numberedAction(label, OPERATORS - 1, step);
  }

  private static Action.Independent<SheetExportSimulation> numberedAction(
      String label, int max, Step step) {
    return () ->
        Arbitraries.integers()
            .between(0, max)
            .map(n -> Transformer.mutate(label + " " + n, simulation -> step.apply(simulation, n)));
  }

  private static Action.Independent<SheetExportSimulation> faults() {
    return () ->
        Combinators.combine(
                Arbitraries.integers().between(0, 50),
                Arbitraries.of(2, 50, 3_000),
                Arbitraries.longs().between(0, 1_000_000))
            .as(
                (loss, delayMs, seed) ->
                    Transformer.mutate(
                        "lose " + loss + "%, delay " + delayMs + ", seed " + seed,
                        simulation -> simulation.setFaults(loss, delayMs, seed)));
  }
}
