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

class MembershipReducerTest {

  private static final String FIRST = MembershipNetwork.id(0);
  private static final String SECOND = MembershipNetwork.id(1);

  @ParameterizedTest
  @ValueSource(ints = {2, 6, 40})
  void stoppedDaemonIsFoundDeadByAll(int daemons) {
    MembershipNetwork network = new MembershipNetwork(daemons, 1);
    network.run(5_000);
    network.stop(FIRST);
    long tookMs = network.runUntilAllBelieve(FIRST, MemberState.DEAD, 60_000);
    assertThat(tookMs).isLessThan(15_000);
    assertThat(network.owners(SECOND)).hasSize(daemons - 1).doesNotContain(FIRST);
  }

  @Test
  void leavingDaemonOwnsNothingWithinSeconds() {
    MembershipNetwork network = new MembershipNetwork(40, 2);
    network.run(5_000);
    network.drain(FIRST);
    network.run(5_000);
    assertThat(network.distinctViews()).hasSize(1);
    assertThat(network.owners(FIRST)).hasSize(39).doesNotContain(FIRST);
    assertThat(network.reducer(SECOND).find(FIRST).orElseThrow().state())
        .isEqualTo(MemberState.LEAVING);
  }

  @Test
  void suspectedDaemonThatWasLeavingOwnsNothing() {
    MembershipNetwork network = new MembershipNetwork(6, 3);
    network.drain(FIRST);
    network.run(4_000);
    network.stop(FIRST);
    network.runUntilAllBelieve(FIRST, MemberState.SUSPECT, 5_000);
    assertThat(network.owners(SECOND)).doesNotContain(FIRST);
  }

  @Test
  void brokenLinkOfOnePairKillsNobody() {
    MembershipNetwork network = new MembershipNetwork(6, 4);
    network.cut((from, to) -> Set.of(from, to).equals(Set.of(FIRST, SECOND)));
    network.run(120_000);
    assertThat(network.distinctViews()).hasSize(1);
    assertThat(network.owners(FIRST)).hasSize(6);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void lossOfOneMessageInTenKillsNobody(long seed) {
    MembershipNetwork network = new MembershipNetwork(12, seed);
    network.loss(0.1);
    Set<MemberUpdate> dead = new HashSet<>();
    network.observe(
        effect -> {
          if (effect instanceof MembershipEffect.MembersChanged changed) {
            changed.changes().stream()
                .filter(change -> change.state() == MemberState.DEAD)
                .forEach(dead::add);
          }
        });
    network.run(300_000);
    assertThat(dead).isEmpty();
  }

  @Test
  void pausedDaemonComesBackAndBuriesNobody() {
    MembershipNetwork network = new MembershipNetwork(6, 5);
    network.run(3_000);
    network.stop(FIRST);
    network.run(20_000);
    assertThat(network.owners(SECOND)).doesNotContain(FIRST);
    network.resume(FIRST);
    network.run(20_000);
    assertThat(network.distinctViews()).hasSize(1);
    assertThat(network.owners(FIRST)).hasSize(6);
  }

  @Test
  void partitionHeals() {
    MembershipNetwork network = new MembershipNetwork(12, 6);
    network.cut(
        (from, to) -> (from.compareTo("daemon-0004") < 0) != (to.compareTo("daemon-0004") < 0));
    network.run(60_000);
    assertThat(network.distinctViews()).hasSize(2);
    network.cut((from, to) -> false);
    network.run(60_000);
    assertThat(network.distinctViews()).hasSize(1);
    assertThat(network.owners(FIRST)).hasSize(12);
  }

  @Test
  void newDaemonIsKnownToAllWithoutTheirList() {
    MembershipNetwork network = new MembershipNetwork(12, 7);
    network.run(3_000);
    network.start("daemon-new");
    network.readList("daemon-new", network.vms());
    network.run(6_000);
    assertThat(network.distinctViews()).hasSize(1);
    assertThat(network.owners(FIRST)).hasSize(13);
  }

  @Test
  void listMarksLeavingDaemonsAndRemovesNone() {
    MembershipNetwork network = new MembershipNetwork(6, 8);
    network.run(3_000);
    VmEntry leaving = new VmEntry(FIRST, VmKind.DAEMON, "10.0.0.1:1", "zone-a", true, List.of());
    network.readList(SECOND, List.of(leaving));
    assertThat(network.owners(SECOND)).hasSize(5).doesNotContain(FIRST);
  }

  @Test
  void restartedDaemonWithLaterIncarnationIsAlive() {
    MembershipNetwork network = new MembershipNetwork(6, 9);
    network.stop(FIRST);
    network.runUntilAllBelieve(FIRST, MemberState.DEAD, 60_000);
    network.resume(FIRST);
    network.start(FIRST);
    network.readList(FIRST, network.vms());
    network.run(10_000);
    assertThat(network.allBelieve(FIRST, MemberState.ALIVE)).isTrue();
  }
}
