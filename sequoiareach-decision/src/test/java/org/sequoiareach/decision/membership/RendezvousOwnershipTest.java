package org.sequoiareach.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sequoiareach.model.platform.MemberState;

/** Tests that owners are consistent, evenly spread, and stable when daemons join or leave. */
class RendezvousOwnershipTest {

  private static final String[] ZONES = {"a", "b", "c"};

  @Property(tries = 100, seed = "1")
  void incrementalUpdatesMatchFreshComputation(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int daemons) {
    Random random = new Random(seed);
    RendezvousOwnership incremental = new RendezvousOwnership();
    for (int version = 1; version < 6; version++) {
      MembershipView view = view(version, daemons, random);
      RendezvousOwnership fresh = new RendezvousOwnership();
      for (int i = 0; i < 40; i++) {
        assertThat(incremental.findOwner("t" + i, ZONES[i % 3], view))
            .isEqualTo(fresh.findOwner("t" + i, ZONES[i % 3], view));
      }
    }
  }

  @Test
  void removingDaemonMovesOnlyItsTargets() {
    MembershipView before = view(1, 12, new Random(1), 0);
    List<Member> remaining = new ArrayList<>(before.owners());
    final String removedId = remaining.remove(3).daemonId();
    MembershipView after = new MembershipView(2, remaining);
    RendezvousOwnership first = new RendezvousOwnership();
    RendezvousOwnership second = new RendezvousOwnership();
    for (int i = 0; i < 1_000; i++) {
      String ownerBefore = first.findOwner("t" + i, ZONES[i % 3], before).orElseThrow().daemonId();
      String ownerAfter = second.findOwner("t" + i, ZONES[i % 3], after).orElseThrow().daemonId();
      assertThat(ownerAfter.equals(ownerBefore) || ownerBefore.equals(removedId)).isTrue();
    }
  }

  @Test
  void targetsAreSpreadEvenlyAndMostlyWithinTheirZone() {
    MembershipView view = view(1, 6, new Random(1), 0);
    RendezvousOwnership ownership = new RendezvousOwnership();
    Map<String, Integer> counts = new HashMap<>();
    int inZone = 0;
    for (int i = 0; i < 6_000; i++) {
      Member owner = ownership.findOwner("t" + i, ZONES[i % 3], view).orElseThrow();
      counts.merge(owner.daemonId(), 1, Integer::sum);
      inZone += owner.zone().equals(ZONES[i % 3]) ? 1 : 0;
    }
    assertThat(counts.values()).allSatisfy(count -> assertThat(count).isBetween(850, 1_150));
    assertThat(inZone / 6_000.0).isBetween(0.77, 0.83);
  }

  @Test
  void emptyViewHasNoOwner() {
    MembershipView view = new MembershipView(7, List.of());
    assertThat(new RendezvousOwnership().findOwner("t", "a", view)).isEmpty();
  }

  private static MembershipView view(long version, int daemons, Random random) {
    return view(version, daemons, random, 0.3);
  }

  private static MembershipView view(long version, int daemons, Random random, double absentShare) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < daemons; i++) {
      if (random.nextDouble() >= absentShare) {
        members.add(new Member("d" + i, "x:1", ZONES[i % 3], 1, MemberState.ALIVE, false, 0));
      }
    }
    return new MembershipView(version, members);
  }
}
