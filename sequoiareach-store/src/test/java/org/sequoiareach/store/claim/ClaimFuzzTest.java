package org.sequoiareach.store.claim;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.sequoiareach.model.request.Verdict;

/**
 * Guards against two authors holding the same key and against keys that stay held for ever, when
 * registries share a key-value service that loses, delays and reorders calls.
 */
class ClaimFuzzTest {

  private static final int DAEMONS = 3;
  private static final int KEYS = 3;
  private static final int ACTIONS = 50;

  @Property(tries = 1_000, seed = "20261203")
  void atMostOneAuthorHoldsKeyAndNoKeyIsStuck(
      @ForAll("histories") ActionChain<ClaimSimulation> history) {
    ClaimSimulation simulation = history.withInvariant(ClaimSimulation::assertNoViolation).run();
    simulation.recoverAndCheckKeys();
    simulation.assertNoViolation();
  }

  @Provide
  Arbitrary<ActionChain<ClaimSimulation>> histories() {
    return ActionChain.startWith(() -> new ClaimSimulation(DAEMONS))
        .withAction(10, claims())
        .withAction(5, settlements())
        .withAction(8, delays())
        .withAction(5, serviceConditions())
        .withAction(1, crashes())
        .withMaxTransformations(ACTIONS);
  }

  private static Action.Independent<ClaimSimulation> claims() {
    return () ->
        Combinators.combine(
                Arbitraries.integers().between(0, DAEMONS - 1),
                Arbitraries.integers().between(0, KEYS - 1),
                Arbitraries.longs().between(1, 4_000))
            .as(
                (daemon, key, timeoutMs) ->
                    Transformer.mutate(
                        "claim key " + key + " at " + daemon + " within " + timeoutMs,
                        simulation -> simulation.claim(daemon, "key-" + key, timeoutMs)));
  }

  private static Action.Independent<ClaimSimulation> settlements() {
    return () ->
        Combinators.combine(Arbitraries.integers().between(0, 99), Arbitraries.of(Verdict.class))
            .as(
                (index, verdict) ->
                    Transformer.mutate(
                        "settle " + index + " as " + verdict,
                        simulation -> settleOne(simulation, index, verdict)));
  }

  private static void settleOne(ClaimSimulation simulation, int index, Verdict verdict) {
    List<ClaimSimulation.Attempt> open =
        simulation.attempts().stream()
            .filter(attempt -> attempt.isAnswered(ClaimAnswer.CLAIMED) && attempt.verdict == null)
            .toList();
    if (!open.isEmpty()) {
      simulation.settle(open.get(index % open.size()), verdict);
    }
  }

  private static Action.Independent<ClaimSimulation> delays() {
    return () ->
        Arbitraries.longs()
            .between(1, 3_000)
            .map(ms -> Transformer.mutate("wait " + ms, simulation -> simulation.advance(ms)));
  }

  private static Action.Independent<ClaimSimulation> serviceConditions() {
    return () ->
        Combinators.combine(
                Arbitraries.of(ClaimSimulation.ServiceCondition.class),
                Arbitraries.longs().between(0, 1_000_000))
            .as(
                (condition, seed) ->
                    Transformer.mutate(
                        condition + " with seed " + seed,
                        simulation -> simulation.setServiceCondition(condition, seed)));
  }

  private static Action.Independent<ClaimSimulation> crashes() {
    return () ->
        Arbitraries.integers()
            .between(0, DAEMONS - 1)
            .map(
                daemon ->
                    Transformer.mutate("crash " + daemon, simulation -> simulation.crash(daemon)));
  }
}
