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

/**
 * Verifies under random faults that no daemon serves with an outdated sheet, and that all daemons
 * become ready with the latest sheet once the faults have ended.
 */
class SheetGuardFuzzTest {

  private static final long CONVERGENCE_MS = 6 * SheetSimulation.BOUND_MS;

  @Property(tries = 300, seed = "20261203")
  void noDaemonServesWithOutdatedSheet(@ForAll long seed, @ForAll("steps") List<FaultStep> steps) {
    SheetSimulation simulation = new SheetSimulation(seed);
    simulation.run(2_000);
    for (FaultStep step : steps) {
      step.applyTo(simulation);
    }
    Statistics.label("ready in an outage").collect(simulation.readyObservationsInOutage() > 0);
    simulation.clearFaults();
    simulation.run(CONVERGENCE_MS);
    for (int i = 0; i < SheetSimulation.DAEMONS; i++) {
      assertThat(simulation.isReady(i)).as("daemon %s is ready in the end", i).isTrue();
      assertThat(simulation.versionOf(i)).isEqualTo(simulation.serviceVersion());
    }
  }

  /**
   * Guards against a majority of daemons that hold no sheet after a restart: two daemons with an
   * outdated sheet must not become ready by their answers.
   */
  @Example
  void restartedDaemonsDoNotCountTowardsMajority() {
    SheetSimulation simulation = new SheetSimulation(1);
    simulation.run(2_000);
    for (int stale = 0; stale < 2; stale++) {
      simulation.partition(stale, 1);
      simulation.cutFromService(stale, true);
    }
    simulation.export();
    simulation.run(2 * SheetSimulation.BOUND_MS);
    assertThat(simulation.versionOf(2)).isEqualTo(2);
    simulation.serviceDown(true);
    simulation.pause(2, 10 * SheetSimulation.BOUND_MS);
    for (int fresh = 3; fresh < SheetSimulation.DAEMONS; fresh++) {
      simulation.restart(fresh);
    }
    for (int i = 0; i < SheetSimulation.DAEMONS; i++) {
      simulation.partition(i, 0);
    }
    simulation.run(5 * SheetSimulation.BOUND_MS);
    for (int i = 0; i < SheetSimulation.DAEMONS; i++) {
      assertThat(simulation.isReady(i)).as("daemon %s", i).isFalse();
    }
  }

  @Provide
  Arbitrary<List<FaultStep>> steps() {
    return Combinators.combine(
            Arbitraries.of(FaultKind.class),
            Arbitraries.integers().between(0, SheetSimulation.DAEMONS - 1),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(50, 6_000))
        .as(FaultStep::new)
        .list()
        .ofMinSize(3)
        .ofMaxSize(30);
  }

  enum FaultKind {
    EXPORT,
    SERVICE_OUTAGE,
    SERVICE_LINK_CUT,
    PARTITION,
    MESSAGE_LOSS,
    PAUSE,
    RESTART
  }

  /**
   * A fault or change, and the time to run after it.
   *
   * @param kind the kind of fault
   * @param daemon the index of the affected daemon, if the kind applies to one
   * @param level the severity; 0 ends the fault
   * @param durationMs the time to run afterwards in milliseconds
   */
  record FaultStep(FaultKind kind, int daemon, int level, int durationMs) {

    private void applyTo(SheetSimulation simulation) {
      switch (kind) {
        case EXPORT -> simulation.export();
        case SERVICE_OUTAGE -> simulation.serviceDown(level > 0);
        case SERVICE_LINK_CUT -> simulation.cutFromService(daemon, level > 0);
        case PARTITION -> simulation.partition(daemon, level % 2);
        case MESSAGE_LOSS -> simulation.messageLoss(level * 0.2);
        case PAUSE -> simulation.pause(daemon, level * 1_500L);
        case RESTART -> simulation.restart(daemon);
        default -> throw new IllegalStateException("Unknown fault kind: " + kind);
      }
      simulation.run(durationMs);
    }
  }
}
