package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays fleets that follow the store by few, and checks order and age by an oracle. */
class StoreFleetTest {

  private static final int DAEMONS = 95;
  private static final long SETTLED_MS = 10_000;
  private static final long BOUND_MS = StoreFleet.BOUND_MS;

  /** What happens to the readers or the store once the fleet has settled. */
  private enum Disturbance {
    NONE,
    READERS_DIE,
    READERS_FREEZE,
    READERS_CUT_FROM_STORE,
    READERS_TURNED_AWAY,
    THIRD_TURNED_AWAY,
    READERS_CUT_FROM_PEERS,
    MESSAGES_LOST,
    STORE_RESTORED
  }

  private static void disturb(StoreFleet fleet, Disturbance disturbance) {
    List<Integer> readers = fleet.readers();
    switch (disturbance) {
      case READERS_DIE -> readers.forEach(fleet::kill);
      case READERS_FREEZE -> {
        readers.forEach(fleet::excuse);
        readers.forEach(reader -> fleet.freeze(reader, BOUND_MS));
      }
      case READERS_CUT_FROM_STORE -> fleet.cutFromStore(readers::contains);
      case READERS_TURNED_AWAY -> fleet.turnAway(readers::contains);
      case THIRD_TURNED_AWAY -> fleet.turnAway(daemon -> daemon % 3 == 0);
      case READERS_CUT_FROM_PEERS -> fleet.cut((from, to) -> readers.contains(from));
      case MESSAGES_LOST -> fleet.cut((from, to) -> fleet.random().nextInt(4) == 0);
      case STORE_RESTORED -> fleet.restore(fleet.position());
      default -> {}
    }
  }

  @ParameterizedTest
  @EnumSource(Disturbance.class)
  void bringsChangesIntoForceWithinBoundAndInOrder(Disturbance disturbance) {
    StoreFleet fleet = new StoreFleet(1, DAEMONS);
    fleet.run(SETTLED_MS);
    disturb(fleet, disturbance);
    fleet.run(200);
    fleet.leave(0, BOUND_MS);
    fleet.publishSheet(BOUND_MS);
    fleet.run(1_500);
    fleet.leave(1, BOUND_MS);
    fleet.publishSheet(BOUND_MS);
    fleet.run(BOUND_MS + 500);

    assertThat(fleet.violations()).isEmpty();
  }

  @Test
  void changesAreInForceSoonAndForFewCallsWithoutDisturbance() {
    StoreFleet fleet = new StoreFleet(2, DAEMONS);
    for (int i = 0; i < 30; i++) {
      int target = i;
      fleet.at(3_000 + i * 1_000, () -> fleet.leave(target, BOUND_MS));
    }
    fleet.run(33_000);

    assertThat(fleet.violations()).isEmpty();
    assertThat(fleet.readers()).hasSize(3);
    assertThat(fleet.calls()).as("calls to the store in 33 s").isLessThan(600);
    assertThat(fleet.medianDelayMs())
        .as("median time until the last daemon learns of a change, in ms")
        .isLessThan(300);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 8})
  void allDaemonsOfSmallFleetWatch(int daemons) {
    StoreFleet fleet = new StoreFleet(3, daemons);
    fleet.run(SETTLED_MS);

    assertThat(fleet.readers()).hasSize(daemons);
  }

  @Test
  void daemonWithoutPeersReadsForItself() {
    StoreFleet fleet = new StoreFleet(4, DAEMONS);
    fleet.run(SETTLED_MS);
    int lonely = fleet.readers().contains(50) ? 51 : 50;
    fleet.cut((from, to) -> from == lonely || to == lonely);
    fleet.run(200);
    fleet.leave(0, BOUND_MS);
    fleet.run(BOUND_MS + 500);

    assertThat(fleet.violations()).isEmpty();
  }

  @Test
  void crowdThatLosesItsReadersDoesNotReadAtOnce() {
    StoreFleet fleet = new StoreFleet(5, DAEMONS);
    fleet.run(SETTLED_MS);
    fleet.readers().forEach(fleet::kill);
    int before = fleet.calls();
    fleet.run(BOUND_MS);

    assertThat(fleet.calls() - before).as("calls in the bound").isLessThan(2 * DAEMONS);
  }

  /** The oracle has to notice a follower that does not fall back, and a reader that lies. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void oracleNoticesBrokenFollowing(boolean falsifiedAges) {
    StoreFleet fleet = new StoreFleet(6, DAEMONS);
    fleet.run(SETTLED_MS);
    List<Integer> readers = fleet.readers();
    if (falsifiedAges) {
      fleet.falsifyAges();
    } else {
      fleet.disableSingleReads();
    }
    fleet.turnAway(readers::contains);
    // The watches in progress are still answered; none lasts longer than this.
    fleet.run(BOUND_MS / 2);
    fleet.leave(0, BOUND_MS);
    fleet.run(BOUND_MS + 500);

    assertThat(fleet.violations()).isNotEmpty();
  }
}
