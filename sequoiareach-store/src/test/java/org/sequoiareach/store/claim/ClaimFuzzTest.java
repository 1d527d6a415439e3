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

/** Fuzzes registries that share a key-value service which loses, delays and reorders calls. */
class ClaimFuzzTest {

  private static final int DAEMONS = 3;
  private static final int KEYS = 3;
  private static final int ACTIONS = 50;

  @Property(tries = 1_000, seed = "20261203")
  void atMostOneAuthorHoldsKeyAndNoKeyIsStuck(
      @ForAll("histories") ActionChain<ClaimWorld> history) {
    ClaimWorld world = history.withInvariant(ClaimWorld::assertNoViolation).run();
    world.finish();
    world.assertNoViolation();
  }

  @Provide
  Arbitrary<ActionChain<ClaimWorld>> histories() {
    return ActionChain.startWith(() -> new ClaimWorld(DAEMONS))
        .withAction(10, claims())
        .withAction(5, settlements())
        .withAction(8, pauses())
        .withAction(5, weathers())
        .withAction(1, crashes())
        .withMaxTransformations(ACTIONS);
  }

  private static Action.Independent<ClaimWorld> claims() {
    return () ->
        Combinators.combine(
                Arbitraries.integers().between(0, DAEMONS - 1),
                Arbitraries.integers().between(0, KEYS - 1),
                Arbitraries.longs().between(1, 4_000))
            .as(
                (daemon, key, patienceMs) ->
                    Transformer.mutate(
                        "claim key " + key + " at " + daemon + " within " + patienceMs,
                        world -> world.claim(daemon, "key-" + key, patienceMs)));
  }

  private static Action.Independent<ClaimWorld> settlements() {
    return () ->
        Combinators.combine(Arbitraries.integers().between(0, 99), Arbitraries.of(Verdict.class))
            .as(
                (index, verdict) ->
                    Transformer.mutate(
                        "settle " + index + " as " + verdict,
                        world -> settleOne(world, index, verdict)));
  }

  private static void settleOne(ClaimWorld world, int index, Verdict verdict) {
    List<ClaimWorld.Attempt> open =
        world.attempts().stream()
            .filter(attempt -> attempt.isAnswered(ClaimAnswer.CLAIMED) && attempt.verdict == null)
            .toList();
    if (!open.isEmpty()) {
      world.settle(open.get(index % open.size()), verdict);
    }
  }

  private static Action.Independent<ClaimWorld> pauses() {
    return () ->
        Arbitraries.longs()
            .between(1, 3_000)
            .map(ms -> Transformer.mutate("wait " + ms, world -> world.advance(ms)));
  }

  private static Action.Independent<ClaimWorld> weathers() {
    return () ->
        Combinators.combine(
                Arbitraries.of(ClaimWorld.Weather.class), Arbitraries.longs().between(0, 1_000_000))
            .as(
                (weather, seed) ->
                    Transformer.mutate(
                        weather + " with seed " + seed, world -> world.setWeather(weather, seed)));
  }

  private static Action.Independent<ClaimWorld> crashes() {
    return () ->
        Arbitraries.integers()
            .between(0, DAEMONS - 1)
            .map(daemon -> Transformer.mutate("crash " + daemon, world -> world.crash(daemon)));
  }
}
