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

/** Fuzzes racing exports and reads on a key-value service that loses and delays calls. */
class SheetFuzzTest {

  private static final int OPERATORS = 3;

  @Property(tries = 500, seed = "20261203")
  void versionsAreWholeAndNeverFall(@ForAll("histories") ActionChain<SheetWorld> history) {
    SheetWorld world = history.withInvariant(SheetWorld::assertNoViolation).run();
    world.finish();
    world.assertNoViolation();
  }

  @AfterTry
  void resetTime() {
    VirtualTimeScheduler.reset();
  }

  @Provide
  Arbitrary<ActionChain<SheetWorld>> histories() {
    return ActionChain.startWith(SheetWorld::new)
        .withAction(5, perOperator("export", SheetWorld::export))
        .withAction(5, perOperator("read", SheetWorld::read))
        .withAction(5, perNumber("wait", 2_000, (world, ms) -> world.advance(ms)))
        .withAction(1, perNumber("skip hours", 3, SheetWorld::skipHours))
        .withAction(2, faults())
        .withMaxTransformations(40);
  }

  /** Does something to the world with a number. */
  private interface Step {
    void apply(SheetWorld world, int number);
  }

  private static Action.Independent<SheetWorld> perOperator(String label, Step step) {
    return perNumber(label, OPERATORS - 1, step);
  }

  private static Action.Independent<SheetWorld> perNumber(String label, int most, Step step) {
    return () ->
        Arbitraries.integers()
            .between(0, most)
            .map(n -> Transformer.mutate(label + " " + n, world -> step.apply(world, n)));
  }

  private static Action.Independent<SheetWorld> faults() {
    return () ->
        Combinators.combine(
                Arbitraries.integers().between(0, 50),
                Arbitraries.of(2, 50, 3_000),
                Arbitraries.longs().between(0, 1_000_000))
            .as(
                (loss, delayMs, seed) ->
                    Transformer.mutate(
                        "lose " + loss + "%, delay " + delayMs + ", seed " + seed,
                        world -> world.setFaults(loss, delayMs, seed)));
  }
}
