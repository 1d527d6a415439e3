package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.StorePosition;
import org.sequoiareach.model.route.ZoneMaintenance;

/** Plays fleets of which a zone goes into maintenance, and checks where calls are sent. */
class ZoneMaintenanceTest {

  private static final int DAEMONS = 80;
  private static final long SETTLED_MS = 6_000;

  /** The time from the acknowledged write after which no request may reach the zone. */
  private static final long MAINTENANCE_BOUND_MS = 5_000;

  private static final String ZONE = "z1";

  /** What fails around the write of the operators. */
  private enum Disturbance {
    NONE,
    READERS_DIE,
    READERS_CUT_FROM_STORE,
    READERS_TURNED_AWAY,
    TWO_THIRDS_TURNED_AWAY,
    READERS_CUT_FROM_PEERS,
    MESSAGES_LOST,
    STORE_AWAY_AFTERWARDS,
    STORE_RESTORED_AFTERWARDS,
    DAEMONS_RESTART_AFTERWARDS,
    DAEMONS_RESTART_WITHOUT_STORE
  }

  private static void disturbBefore(MaintenanceFleet fleet, Disturbance disturbance) {
    List<Integer> readers = fleet.readers();
    switch (disturbance) {
      case READERS_DIE -> readers.forEach(fleet::kill);
      case READERS_CUT_FROM_STORE -> fleet.cutFromStore(readers::contains);
      case READERS_TURNED_AWAY -> fleet.turnAway(readers::contains);
      case TWO_THIRDS_TURNED_AWAY -> fleet.turnAway(daemon -> daemon % 3 != 0);
      case READERS_CUT_FROM_PEERS -> fleet.cut((from, to) -> readers.contains(from));
      case MESSAGES_LOST -> fleet.cut((from, to) -> fleet.random().nextInt(4) == 0);
      default -> {}
    }
  }

  private static void disturbAfter(MaintenanceFleet fleet, Disturbance disturbance, long before) {
    switch (disturbance) {
      case STORE_AWAY_AFTERWARDS -> fleet.turnAway(daemon -> true);
      case STORE_RESTORED_AFTERWARDS -> fleet.restoreAndWriteAgain(before, 1_500);
      case DAEMONS_RESTART_AFTERWARDS -> {
        for (int daemon = 10; daemon < 20; daemon++) {
          fleet.restartUnloaded(daemon, 300);
        }
      }
      case DAEMONS_RESTART_WITHOUT_STORE -> {
        fleet.turnAway(daemon -> daemon >= 10 && daemon < 20);
        for (int daemon = 10; daemon < 20; daemon++) {
          fleet.restartUnloaded(daemon, 300);
        }
      }
      default -> {}
    }
  }

  /** Guards against daemons that learn of a maintenance late, or forget it. */
  @ParameterizedTest
  @EnumSource(Disturbance.class)
  void sendsNothingToZoneInMaintenanceAndReturnsToItAfterwards(Disturbance disturbance) {
    MaintenanceFleet fleet = new MaintenanceFleet(11, DAEMONS);
    fleet.run(SETTLED_MS);
    fleet.load(18_000);
    disturbBefore(fleet, disturbance);
    fleet.run(200);
    final long position = fleet.position();
    final long writtenMs = fleet.elapsedMs();
    fleet.startMaintenance(ZONE);
    fleet.run(MAINTENANCE_BOUND_MS);
    disturbAfter(fleet, disturbance, position);
    fleet.run(4_000);
    fleet.turnAway(daemon -> false);
    fleet.run(500);
    final long endedMs = fleet.elapsedMs();
    fleet.endMaintenance(ZONE);
    fleet.run(MAINTENANCE_BOUND_MS + 2_000);

    assertThat(fleet.sends(send -> send.zone().equals(ZONE) && send.atMs() < writtenMs))
        .as("calls to the zone before")
        .isNotEmpty();
    assertThat(
            fleet.sends(
                send ->
                    send.zone().equals(ZONE)
                        && send.atMs() > writtenMs + MAINTENANCE_BOUND_MS
                        && send.atMs() < endedMs))
        .as("calls to the zone in maintenance")
        .isEmpty();
    assertThat(
            fleet.sends(
                send -> !send.zone().equals(ZONE) && send.daemon() == 15 && send.atMs() < endedMs))
        .as("calls of a daemon to other zones")
        .isNotEmpty();
    assertThat(
            fleet
                .sends(
                    send ->
                        send.zone().equals(ZONE) && send.atMs() > endedMs + MAINTENANCE_BOUND_MS)
                .stream()
                .map(MaintenanceFleet.Send::daemon)
                .distinct())
        .as("daemons that send to the zone after its maintenance")
        .hasSizeGreaterThan(DAEMONS / 2);
  }

  /** The oracle has to notice daemons that do not learn of a maintenance. */
  @Test
  void oracleNoticesDaemonsThatDoNotLearnOfMaintenance() {
    MaintenanceFleet fleet = new MaintenanceFleet(12, DAEMONS);
    fleet.run(SETTLED_MS);
    fleet.load(8_000);
    fleet.turnAway(daemon -> true);
    fleet.run(1_000);
    fleet.startMaintenance(ZONE);
    final long writtenMs = fleet.elapsedMs();
    fleet.run(6_500);

    assertThat(
            fleet.sends(
                send -> send.zone().equals(ZONE) && send.atMs() > writtenMs + MAINTENANCE_BOUND_MS))
        .isNotEmpty();
  }

  /** Guards against calls that wait until their deadline for a zone that gets none. */
  @Test
  void refusesAtOnceWithReturnTimeIfOnlyZonesInMaintenanceAreLeft() {
    DispatchFixture fixture = DispatchFixture.ready();
    fixture.apply(maintenance(fixture, 20, Set.of("z0", "z1")));
    String call = fixture.call("status");

    assertThat(fixture.sends(call)).isEmpty();
    assertThat(fixture.refusal(call))
        .hasValueSatisfying(
            refusal -> {
              assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
              assertThat(refusal.retryAfterMs()).isPositive();
            });
  }

  /** Guards against runs that are cut, moved or copied to a zone because of a maintenance. */
  @Test
  void runInProgressGoesOnAndIsNotCopiedToZoneInMaintenance() {
    DispatchFixture fixture = DispatchFixture.ready();
    String call = fixture.generate(3_000, 500);
    fixture.started(call);
    String zone = fixture.lastSend(call).target().zone();
    fixture.apply(maintenance(fixture, 20, Set.of(zone)));
    fixture.tick(2_000);
    assertThat(fixture.copies(call)).isEmpty();
    assertThat(fixture.wasCut(call)).isFalse();

    fixture.apply(maintenance(fixture, 21, Set.of("z0", "z1")));
    fixture.markLeaving(call);
    fixture.tick(500);
    assertThat(fixture.copies(call)).isEmpty();
  }

  /** Guards against reports requested from engines of the zone on which nothing runs. */
  @Test
  void asksNoReportInZoneInMaintenanceExceptWhereRunIs() {
    DispatchFixture fixture = DispatchFixture.ready();
    String call = fixture.generate(3_000, 500);
    fixture.apply(maintenance(fixture, 20, Set.of("z0", "z1")));
    int before = fixture.all(DispatchEffect.AskReport.class).size();
    fixture.tick(2_000);

    List<DispatchEffect.AskReport> asked = fixture.all(DispatchEffect.AskReport.class);
    assertThat(asked.subList(before, asked.size()))
        .isNotEmpty()
        .allMatch(report -> report.target().id().equals(fixture.lastSend(call).target().id()));
  }

  /** Guards against an older statement that ends or starts a maintenance. */
  @Test
  void olderStatementDoesNotReplaceNewerOne() {
    DispatchFixture fixture = DispatchFixture.ready();
    fixture.apply(maintenance(fixture, 20, Set.of("z0")));
    fixture.apply(maintenance(fixture, 19, Set.of("z1")));

    String call = fixture.call("status");
    assertThat(fixture.lastSend(call).target().zone()).isEqualTo("z1");
  }

  /** Guards against a restored store whose missing entry ends a maintenance at once, or never. */
  @Test
  void restoredStoreEndsMaintenanceOnlyAfterItsEntryCouldBeWrittenAgain() {
    DispatchFixture fixture = DispatchFixture.ready();
    fixture.apply(maintenance(fixture, 20, Set.of("z0", "z1")));
    fixture.apply(maintenance(fixture, StorePosition.of(1, 15), Set.of()));
    fixture.tick(1_900);
    assertThat(fixture.sends(fixture.call("status"))).isEmpty();

    fixture.tick(200);
    assertThat(fixture.sends(fixture.call("status"))).isNotEmpty();
  }

  private static AvailabilityEvent.MaintenanceLearned maintenance(
      DispatchFixture fixture, long position, Set<String> zones) {
    return new AvailabilityEvent.MaintenanceLearned(
        fixture.nowMs(), new ZoneMaintenance(position, zones), "store");
  }
}
