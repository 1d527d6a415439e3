package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.route.RoutedService;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.TargetUpdate;
import org.sequoiareach.model.route.WarmUpTraits;

/** Plays fleets whose targets become cold, and counts the requests that reach them. */
class WarmUpTest {

  private static final int DAEMONS = 80;
  private static final int TARGETS = 3;
  private static final WarmUpTraits TRAITS = new WarmUpTraits(1_000, 30);

  /** Coldness coverage of 1.5 times the rate and a tolerance of 5 requests. */
  private static final int MAX_PER_SECOND = 50;

  private static final long SETTLED_MS = 25_000;
  private static final long COLD_MS = 4_000;

  /** The time in which the change reaches all daemons, and what they sent before arrives. */
  private static final long SPREAD_MS = 150;

  /** What fails while the targets are cold. */
  private enum Disturbance {
    NONE,
    OWNERS_DIE,
    DAEMONS_CUT_FROM_EACH_OTHER,
    SOME_DO_NOT_KNOW
  }

  /** Guards against a burst on targets that all become cold at once. */
  @ParameterizedTest
  @EnumSource(Disturbance.class)
  void coldTargetsTakeFewRequestsOfAllDaemonsTogether(Disturbance disturbance) {
    LimitedFleet fleet = new LimitedFleet(DAEMONS, TARGETS, 21);
    useSheet(fleet, TRAITS);
    fleet.load(600, DAEMONS, SETTLED_MS - 1_000, SETTLED_MS + COLD_MS + 3_000);
    fleet.run(SETTLED_MS);
    IntPredicate knows =
        disturbance == Disturbance.SOME_DO_NOT_KNOW ? number -> number % 40 != 7 : number -> true;
    makeCold(fleet, knows);
    fleet.run(500);
    if (disturbance == Disturbance.OWNERS_DIE) {
      for (int target = 0; target < TARGETS; target++) {
        fleet.kill(fleet.ownerOf(target));
      }
    } else if (disturbance == Disturbance.DAEMONS_CUT_FROM_EACH_OTHER) {
      fleet.cut((from, to) -> from % 2 != to % 2);
    }
    fleet.run(COLD_MS - 600);

    for (int target = 0; target < TARGETS; target++) {
      assertThat(fleet.mostArrivals(target, 1_000, SETTLED_MS + SPREAD_MS))
          .as("most requests in a second at cold target %d", target)
          .isBetween(5, MAX_PER_SECOND);
    }
    final int served = fleet.served();
    fleet.run(2_000);
    assertThat(fleet.served() - served).as("served in 2 s once warm").isGreaterThan(800);
  }

  /** Guards against a limit where the service states no rate. */
  @Test
  void serviceWithoutRateIsTreatedAsBefore() {
    LimitedFleet fleet = new LimitedFleet(6, TARGETS, 22);
    fleet.load(600, 6, SETTLED_MS - 1_000, SETTLED_MS + 3_000);
    fleet.run(SETTLED_MS);
    makeCold(fleet, number -> true);
    fleet.run(2_000);

    assertThat(fleet.mostArrivals(0, 1_000, SETTLED_MS + SPREAD_MS)).isGreaterThan(150);
    assertThat(fleet.refused()).isZero();
  }

  /** Guards against waiting for a cold target while a warm one has a free slot. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void warmTargetsTakeTheCallsOfColdOne(boolean reported) {
    DispatchFixture fixture = DispatchFixture.ready();
    fixture.apply(new DispatchEvent.SheetLearned(fixture.nowMs(), sheet(TRAITS), "store"));
    RoutedTarget cold = DispatchFixture.target(DispatchFixture.DESK, 0, 6);
    fixture.apply(
        reported
            ? new AvailabilityEvent.ColdStated(fixture.nowMs(), cold, COLD_MS)
            : new DispatchEvent.TargetChanged(fixture.nowMs(), 11, cold(cold, 1)));
    for (int i = 0; i < 10; i++) {
      assertThat(fixture.lastSend(fixture.call("booking")).target().id()).isNotEqualTo(cold.id());
    }
  }

  /** Guards against a restarted target that is sent its usual share while it is cold. */
  @Test
  void startedTargetIsColdForTheTimeThatItsServiceStates() {
    DispatchFixture fixture = DispatchFixture.ready();
    fixture.apply(new DispatchEvent.SheetLearned(fixture.nowMs(), sheet(TRAITS), "store"));
    for (int number = 0; number < 3; number++) {
      RoutedTarget old = DispatchFixture.target(DispatchFixture.DESK, number, 6);
      RoutedTarget started =
          new RoutedTarget(old.id(), 2, old.service(), old.address(), old.zone(), 6, false);
      fixture.apply(new DispatchEvent.TargetChanged(fixture.nowMs(), 11 + number, started));
    }
    String refused = fixture.call("booking");
    fixture.tick(100);
    fixture.call("booking");
    assertThat(fixture.sends(refused)).isEmpty();

    fixture.tick(TRAITS.startMs());
    assertThat(fixture.sends(fixture.call("booking"))).hasSize(1);
  }

  /** Guards against an old entry that is listed again and makes its target cold once more. */
  @Test
  void unchangedEntryThatIsListedAgainStatesNothingNew() {
    DispatchFixture fixture = DispatchFixture.ready();
    fixture.apply(new DispatchEvent.SheetLearned(fixture.nowMs(), sheet(TRAITS), "store"));
    List<RoutedTarget> listed =
        DispatchFixture.targets().stream().map(target -> cold(target, 1)).toList();
    fixture.apply(new DispatchEvent.TargetsListed(fixture.nowMs(), 11, listed, "store"));
    fixture.tick(COLD_MS + 50);
    fixture.apply(new DispatchEvent.TargetsListed(fixture.nowMs(), 12, listed, "store"));

    assertThat(fixture.sends(fixture.call("booking"))).hasSize(1);
  }

  private static void makeCold(LimitedFleet fleet, IntPredicate knows) {
    List<TargetUpdate> updates =
        fleet.listedTargets().stream()
            .map(target -> new TargetUpdate(20, target.id(), Optional.of(cold(target, 1))))
            .toList();
    fleet.daemons().stream()
        .filter(daemon -> knows.test(daemon.number()))
        .forEach(
            daemon ->
                fleet
                    .clock()
                    .after(
                        fleet.random().nextLong(1, 100),
                        () ->
                            daemon.apply(
                                at ->
                                    new DispatchEvent.TargetsUpdated(
                                        at, OptionalLong.empty(), updates, "store"))));
  }

  private static RoutedTarget cold(RoutedTarget target, long incarnation) {
    return new RoutedTarget(
        target.id(),
        incarnation,
        target.service(),
        target.address(),
        target.zone(),
        target.slots(),
        false,
        OptionalLong.of(COLD_MS));
  }

  private static void useSheet(LimitedFleet fleet, WarmUpTraits traits) {
    fleet
        .daemons()
        .forEach(
            daemon ->
                daemon.apply(at -> new DispatchEvent.SheetLearned(at, sheet(traits), "store")));
  }

  private static RoutingSheet sheet(WarmUpTraits traits) {
    RoutingSheet sheet = DispatchFixture.sheet(2, AbstractFleet.KEY);
    List<RoutedService> services =
        sheet.services().stream()
            .map(
                service ->
                    new RoutedService(
                        service.name(),
                        service.connectionLimit(),
                        service.engine(),
                        Optional.of(traits)))
            .toList();
    return new RoutingSheet(
        sheet.revision(),
        sheet.version(),
        sheet.routes(),
        services,
        sheet.limits(),
        sheet.organisations());
  }
}
