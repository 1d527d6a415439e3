package org.sequoiareach.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;

/** Tests failure detection and convergence of the membership in simulated groups of daemons. */
class MembershipReducerTest {

  private static final String FIRST = MembershipSimulation.id(0);
  private static final String SECOND = MembershipSimulation.id(1);

  @ParameterizedTest
  @ValueSource(ints = {2, 6, 40})
  void stoppedDaemonIsDeclaredDeadByAllOthers(int daemons) {
    MembershipSimulation simulation = new MembershipSimulation(daemons, 1);
    simulation.run(5_000);
    simulation.stop(FIRST);
    long tookMs = simulation.runUntilAllSee(FIRST, MemberState.DEAD, 60_000);
    assertThat(tookMs).isLessThan(15_000);
    assertThat(simulation.owners(SECOND)).hasSize(daemons - 1).doesNotContain(FIRST);
  }

  @Test
  void drainingDaemonOwnsNoTargetsAfterFiveSeconds() {
    MembershipSimulation simulation = new MembershipSimulation(40, 2);
    simulation.run(5_000);
    simulation.drain(FIRST);
    simulation.run(5_000);
    assertThat(simulation.distinctViews()).hasSize(1);
    assertThat(simulation.owners(FIRST)).hasSize(39).doesNotContain(FIRST);
    assertThat(simulation.reducer(SECOND).find(FIRST).orElseThrow().state())
        .isEqualTo(MemberState.LEAVING);
  }

  @Test
  void suspectDaemonThatWasLeavingOwnsNoTargets() {
    MembershipSimulation simulation = new MembershipSimulation(6, 3);
    simulation.drain(FIRST);
    simulation.run(4_000);
    simulation.stop(FIRST);
    simulation.runUntilAllSee(FIRST, MemberState.SUSPECT, 5_000);
    assertThat(simulation.owners(SECOND)).doesNotContain(FIRST);
  }

  @Test
  void brokenLinkBetweenTwoDaemonsCausesNoFalseFailure() {
    MembershipSimulation simulation = new MembershipSimulation(6, 4);
    simulation.cutLinks((from, to) -> Set.of(from, to).equals(Set.of(FIRST, SECOND)));
    simulation.run(120_000);
    assertThat(simulation.distinctViews()).hasSize(1);
    assertThat(simulation.owners(FIRST)).hasSize(6);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void tenPercentMessageLossCausesNoFalseFailure(long seed) {
    MembershipSimulation simulation = new MembershipSimulation(12, seed);
    simulation.messageLoss(0.1);
    Set<MemberUpdate> dead = new HashSet<>();
    simulation.observe(
        effect -> {
          if (effect instanceof MembershipEffect.MembersChanged changed) {
            changed.changes().stream()
                .filter(change -> change.state() == MemberState.DEAD)
                .forEach(dead::add);
          }
        });
    simulation.run(300_000);
    assertThat(dead).isEmpty();
  }

  @Test
  void pausedDaemonRejoinsAndDeclaresNoOtherDead() {
    MembershipSimulation simulation = new MembershipSimulation(6, 5);
    simulation.run(3_000);
    simulation.stop(FIRST);
    simulation.run(20_000);
    assertThat(simulation.owners(SECOND)).doesNotContain(FIRST);
    simulation.resume(FIRST);
    simulation.run(20_000);
    assertThat(simulation.distinctViews()).hasSize(1);
    assertThat(simulation.owners(FIRST)).hasSize(6);
  }

  @Test
  void viewsConvergeAfterPartition() {
    MembershipSimulation simulation = new MembershipSimulation(12, 6);
    simulation.cutLinks(
        (from, to) -> (from.compareTo("daemon-0004") < 0) != (to.compareTo("daemon-0004") < 0));
    simulation.run(60_000);
    assertThat(simulation.distinctViews()).hasSize(2);
    simulation.cutLinks((from, to) -> false);
    simulation.run(60_000);
    assertThat(simulation.distinctViews()).hasSize(1);
    assertThat(simulation.owners(FIRST)).hasSize(12);
  }

  @Test
  void newDaemonIsDiscoveredWithoutVmListUpdate() {
    MembershipSimulation simulation = new MembershipSimulation(12, 7);
    simulation.run(3_000);
    simulation.start("daemon-new");
    simulation.readList("daemon-new", simulation.vms());
    simulation.run(6_000);
    assertThat(simulation.distinctViews()).hasSize(1);
    assertThat(simulation.owners(FIRST)).hasSize(13);
  }

  @Test
  void vmListMarksLeavingDaemonsAndRemovesNone() {
    MembershipSimulation simulation = new MembershipSimulation(6, 8);
    simulation.run(3_000);
    VmEntry leaving = new VmEntry(FIRST, VmKind.DAEMON, "10.0.0.1:1", "zone-a", true, List.of());
    simulation.readList(SECOND, List.of(leaving));
    assertThat(simulation.owners(SECOND)).hasSize(5).doesNotContain(FIRST);
  }

  @Test
  void restartedDaemonWithHigherIncarnationIsAlive() {
    MembershipSimulation simulation = new MembershipSimulation(6, 9);
    simulation.stop(FIRST);
    simulation.runUntilAllSee(FIRST, MemberState.DEAD, 60_000);
    simulation.resume(FIRST);
    simulation.start(FIRST);
    simulation.readList(FIRST, simulation.vms());
    simulation.run(10_000);
    assertThat(simulation.allSee(FIRST, MemberState.ALIVE)).isTrue();
  }
}
