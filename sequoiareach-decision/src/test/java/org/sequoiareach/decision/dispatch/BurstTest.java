package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sequoiareach.decision.dispatch.BurstFleet.Kind;
import org.sequoiareach.decision.dispatch.BurstFleet.Request;

/**
 * Plays bursts that exceed the capacity of the engines while engines leave, and checks what callers
 * get. Late binding is compared with sending or refusing each call at once.
 */
class BurstTest {

  private static final int DAEMONS = 24;
  private static final int ENGINES = 6;
  private static final long SEEDS = 3;
  private static final long SETTLED_MS = 6_000;
  private static final long BURST_MS = 5_000;

  /** By how much a less urgent kind may be served more often. */
  private static final double TOLERATED_SHARE = 0.05;

  private static final List<BurstFleet> LATE = new ArrayList<>();
  private static final List<BurstFleet> IMMEDIATE = new ArrayList<>();

  @BeforeAll
  static void playBothStrategies() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      LATE.add(play(fleet(seed, false)));
      IMMEDIATE.add(play(fleet(seed, true)));
    }
  }

  @AfterAll
  static void forget() {
    LATE.clear();
    IMMEDIATE.clear();
  }

  @Test
  void servesNoKindLessOftenThanLessUrgentOne() {
    for (BurstFleet fleet : LATE) {
      double checks = servedShare(List.of(fleet), request -> request.kind == Kind.CHECK);
      double drafts = servedShare(List.of(fleet), request -> request.kind == Kind.DRAFT);
      assertThat(checks).as(fleet.summary()).isGreaterThanOrEqualTo(drafts - TOLERATED_SHARE);
    }
  }

  @Test
  void starvesNoTenant() {
    for (String tenant : List.of("large", "small1", "small2")) {
      for (Kind kind : Kind.values()) {
        Predicate<Request> own = request -> request.tenant.equals(tenant) && request.kind == kind;
        assertThat(servedShare(LATE, own))
            .as(tenant + " " + kind)
            .isGreaterThan(servedShare(LATE, request -> true) / 4);
      }
    }
  }

  @Test
  void servesChecksOnTimeMoreOftenThanIfTheyQueueBehindDraftsAtEngines() {
    assertThat(onTimeShare(LATE, Kind.CHECK)).isGreaterThan(onTimeShare(IMMEDIATE, Kind.CHECK));
  }

  @Test
  void losesFewerCallsWithEnginesThatLeave() {
    assertThat(count(LATE, request -> request.lost))
        .isLessThan(count(IMMEDIATE, request -> request.lost));
  }

  @Test
  void servesRefusedCallersOnTheirReturnAsOftenAsWithoutWaiting() {
    assertThat(count(LATE, request -> request.returned)).isPositive();
    assertThat(servedShare(LATE, request -> request.returned))
        .isGreaterThanOrEqualTo(servedShare(IMMEDIATE, request -> request.returned));
  }

  @Test
  void answersEveryCallOnce() {
    LATE.forEach(BurstTest::assertEndsOnce);
  }

  @Test
  void answersEveryCallIfDaemonsHearNothingFromEachOther() {
    BurstFleet fleet = fleet(4, false);
    fleet.at(SETTLED_MS, () -> fleet.cut((from, to) -> true));
    play(fleet);
    assertEndsOnce(fleet);
    assertThat(servedShare(List.of(fleet), request -> true)).as(fleet.summary()).isGreaterThan(0.5);
  }

  @Test
  void answersEveryCallIfDaemonFreezes() {
    BurstFleet fleet = fleet(5, false);
    fleet.at(SETTLED_MS + 2_000, () -> fleet.freeze(3, 2_500));
    play(fleet);
    assertEndsOnce(fleet);
  }

  @Test
  void answersEveryWaitingCallOfDrainingDaemon() {
    BurstFleet fleet = fleet(6, false);
    fleet.at(SETTLED_MS + 2_000, () -> fleet.drain(3));
    play(fleet);
    assertEndsOnce(fleet);
  }

  @Test
  void servesOtherDaemonsIfRelaysAreLost() {
    BurstFleet fleet = fleet(7, false);
    fleet.at(SETTLED_MS + 1_000, () -> IntStream.range(0, 3).forEach(fleet::kill));
    play(fleet);
    assertThat(servedShare(List.of(fleet), request -> true)).as(fleet.summary()).isGreaterThan(0.5);
  }

  private static BurstFleet fleet(long seed, boolean immediate) {
    return new BurstFleet(seed, DAEMONS, ENGINES, immediate);
  }

  private static BurstFleet play(BurstFleet fleet) {
    fleet.load(Kind.DRAFT, SETTLED_MS, BURST_MS, 2.5 * 4.1);
    fleet.load(Kind.CHECK, SETTLED_MS, BURST_MS, 8);
    fleet.load(Kind.CHECK, SETTLED_MS + BURST_MS, BURST_MS, 1.8 * 8);
    fleet.load(Kind.DRAFT, SETTLED_MS + BURST_MS, BURST_MS, 4.1);
    fleet.at(SETTLED_MS + 3_000, () -> fleet.leave(0, 1_600));
    fleet.at(SETTLED_MS + 6_000, () -> fleet.leave(1, 1_600));
    fleet.run(SETTLED_MS + 2 * BURST_MS + 45_000);
    return fleet;
  }

  /** Asserts that each request ends once and runs at most once for each attempt of its caller. */
  private static void assertEndsOnce(BurstFleet fleet) {
    assertThat(fleet.requests()).allMatch(request -> request.outcomes == 1, fleet.summary());
    assertThat(fleet.requests()).allMatch(request -> request.runs <= 1);
  }

  private static long count(List<BurstFleet> fleets, Predicate<Request> selected) {
    return fleets.stream().flatMap(fleet -> fleet.requests().stream()).filter(selected).count();
  }

  private static double servedShare(List<BurstFleet> fleets, Predicate<Request> selected) {
    long served = count(fleets, selected.and(request -> request.served));
    return (double) served / Math.max(1, count(fleets, selected));
  }

  private static double onTimeShare(List<BurstFleet> fleets, Kind kind) {
    Predicate<Request> selected = request -> request.kind == kind;
    long onTime = count(fleets, selected.and(request -> request.served && request.onTime));
    return (double) onTime / count(fleets, selected);
  }
}
