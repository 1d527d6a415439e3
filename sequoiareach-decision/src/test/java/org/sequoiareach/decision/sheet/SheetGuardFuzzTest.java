package org.sequoiareach.decision.sheet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.statistics.Statistics;

class SheetGuardFuzzTest {

  private static final long SETTLE_MS = 6 * SheetWorld.BOUND_MS;

  @Property(tries = 300, seed = "20261203")
  void noDaemonServesByAnOutdatedSheet(@ForAll long seed, @ForAll("steps") List<Step> steps) {
    SheetWorld world = new SheetWorld(seed);
    world.run(2_000);
    for (Step step : steps) {
      step.applyTo(world);
    }
    Statistics.label("ready in an outage").collect(world.readyInOutage() > 0);
    world.healAll();
    world.run(SETTLE_MS);
    for (int i = 0; i < SheetWorld.DAEMONS; i++) {
      assertThat(world.isReady(i)).as("daemon %s is ready in the end", i).isTrue();
      assertThat(world.versionOf(i)).isEqualTo(world.serviceVersion());
    }
  }

  @Example
  void majorityThatForgotItsSheetIsNoMajority() {
    SheetWorld world = new SheetWorld(1);
    world.run(2_000);
    for (int stale = 0; stale < 2; stale++) {
      world.side(stale, 1);
      world.cutFromService(stale, true);
    }
    world.export();
    world.run(2 * SheetWorld.BOUND_MS);
    assertThat(world.versionOf(2)).isEqualTo(2);
    world.serviceAway(true);
    world.pause(2, 10 * SheetWorld.BOUND_MS);
    for (int fresh = 3; fresh < SheetWorld.DAEMONS; fresh++) {
      world.restart(fresh);
    }
    for (int i = 0; i < SheetWorld.DAEMONS; i++) {
      world.side(i, 0);
    }
    world.run(5 * SheetWorld.BOUND_MS);
    for (int i = 0; i < SheetWorld.DAEMONS; i++) {
      assertThat(world.isReady(i)).as("daemon %s", i).isFalse();
    }
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.integers().between(0, SheetWorld.DAEMONS - 1),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(50, 6_000))
        .as(Step::new)
        .list()
        .ofMinSize(3)
        .ofMaxSize(30);
  }

  enum Kind {
    EXPORT,
    SERVICE,
    SERVICE_LINK,
    SIDE,
    LOSS,
    PAUSE,
    RESTART
  }

  /**
   * Is one fault or change, followed by some time.
   *
   * @param kind what happens
   * @param daemon to which daemon, where it is one
   * @param degree how much of it; 0 ends it
   * @param thenMs the time that passes
   */
  record Step(Kind kind, int daemon, int degree, int thenMs) {

    private void applyTo(SheetWorld world) {
      switch (kind) {
        case EXPORT -> world.export();
        case SERVICE -> world.serviceAway(degree > 0);
        case SERVICE_LINK -> world.cutFromService(daemon, degree > 0);
        case SIDE -> world.side(daemon, degree % 2);
        case LOSS -> world.loss(degree * 0.2);
        case PAUSE -> world.pause(daemon, degree * 1_500L);
        case RESTART -> world.restart(daemon);
        default -> throw new IllegalStateException("No such step.");
      }
      world.run(thenMs);
    }
  }
}
