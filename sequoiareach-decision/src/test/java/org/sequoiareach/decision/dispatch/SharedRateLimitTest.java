package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays fleets of daemons in front of targets that state a rate limit. */
class SharedRateLimitTest {

  private static final long WINDOW_MS = 4_000;

  /** How long after a target first stated its limit the daemons are bound by it. */
  private static final long NOTICE_MS = 3_000;

  private static final long LIMITED_AT_MS = 8_000;
  private static final long END_MS = 40_000;

  /** A disturbance of the messages between daemons, or of the owner of the limited target. */
  private enum Trouble {
    NONE,
    HALVES_CUT,
    ALL_CUT,
    OWNER_CUT_ONE_WAY,
    OWNER_KILLED,
    OWNER_FROZEN,
    LATE_MESSAGES;

    private void disturb(LimitedFleet fleet, int owner) {
      switch (this) {
        case HALVES_CUT -> cut(fleet, (from, to) -> from % 2 != to % 2);
        case ALL_CUT -> cut(fleet, (from, to) -> true);
        case OWNER_CUT_ONE_WAY -> cut(fleet, (from, to) -> from == owner);
        case OWNER_KILLED -> fleet.at(14_000, () -> fleet.kill(owner));
        case OWNER_FROZEN -> fleet.at(14_000, () -> fleet.freeze(owner, 4_000));
        case LATE_MESSAGES -> fleet.setMaxMessageDelay(250);
        default -> {}
      }
    }

    private static void cut(LimitedFleet fleet, BiPredicate<Integer, Integer> lost) {
      fleet.at(14_000, () -> fleet.cut(lost));
      fleet.at(24_000, () -> fleet.cut((from, to) -> false));
    }
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void sixDaemonsTogetherKeepToLimitOfOnlyTarget(Trouble trouble) {
    keepToLimitOfOnlyTarget(6, 3.3, trouble);
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void eightyFourDaemonsTogetherKeepToLimitOfOnlyTarget(Trouble trouble) {
    keepToLimitOfOnlyTarget(84, 3.3, trouble);
  }

  private static void keepToLimitOfOnlyTarget(int daemons, double limit, Trouble trouble) {
    LimitedFleet fleet = new LimitedFleet(daemons, 1, 11);
    fleet.load(38, daemons, 6_000, END_MS);
    fleet.at(LIMITED_AT_MS, () -> fleet.setLimit(0, limit));
    trouble.disturb(fleet, fleet.ownerOf(0));

    fleet.run(END_MS);

    assertThat(fleet.mostArrivals(0, WINDOW_MS, LIMITED_AT_MS + NOTICE_MS))
        .isLessThanOrEqualTo(allowed(limit));
    assertThat(fleet.refused()).isPositive();
    assertThat(fleet.refusedWithoutReturn()).isZero();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void keepsToLimitThroughSeriesOfTroubles(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int daemons = random.nextInt(2, 13);
    double limit = random.nextDouble(0.5, 12);
    LimitedFleet fleet = new LimitedFleet(daemons, random.nextInt(1, 3), seed);
    fleet.load(60, random.nextInt(1, daemons + 1), 6_000, END_MS);
    fleet.at(LIMITED_AT_MS, () -> fleet.setLimit(0, limit));
    for (int i = 0; i < 6; i++) {
      int daemon = random.nextInt(daemons);
      long atMs = random.nextLong(LIMITED_AT_MS, END_MS);
      long forMs = random.nextLong(500, 6_000);
      switch (random.nextInt(4)) {
        case 0 -> fleet.at(atMs, () -> fleet.freeze(daemon, forMs));
        case 1 -> {
          int side = random.nextInt(1, daemons + 1);
          fleet.at(atMs, () -> fleet.cut((from, to) -> from < side != to < side));
          fleet.at(atMs + forMs, () -> fleet.cut((from, to) -> false));
        }
        case 2 -> fleet.at(atMs, () -> fleet.kill(daemon));
        default -> {
          long delayMs = random.nextLong(5, 400);
          fleet.at(atMs, () -> fleet.setMaxMessageDelay(delayMs));
        }
      }
    }

    fleet.run(END_MS);

    assertThat(fleet.mostArrivals(0, WINDOW_MS, LIMITED_AT_MS + NOTICE_MS))
        .as("arrivals at %d daemons, limit %s", daemons, limit)
        .isLessThanOrEqualTo(allowed(limit));
    assertThat(fleet.refusedWithoutReturn()).isZero();
  }

  private static LongStream seeds() {
    return LongStream.rangeClosed(1, Long.getLong("limit.seeds", 40));
  }

  @ParameterizedTest
  @CsvSource({"6, 6, 3.3", "84, 84, 3.3", "84, 2, 3.3", "84, 84, 40", "6, 1, 0.7"})
  void usesMostOfLimitOfOnlyTarget(int daemons, int entryDaemons, double limit) {
    LimitedFleet fleet = new LimitedFleet(daemons, 1, 5);
    fleet.load(3 * limit, entryDaemons, 6_000, END_MS);
    fleet.at(LIMITED_AT_MS, () -> fleet.setLimit(0, limit));

    fleet.run(END_MS);

    long fromMs = LIMITED_AT_MS + NOTICE_MS;
    double possible = limit * (END_MS - fromMs) / 1_000;
    assertThat((double) fleet.arrivals(0, fromMs, END_MS)).isGreaterThan(0.75 * possible);
  }

  @ParameterizedTest
  @ValueSource(ints = {6, 84})
  void usesLimitOfOnlyTargetAgainAfterItsOwnerWasKilled(int daemons) {
    LimitedFleet fleet = new LimitedFleet(daemons, 1, 13);
    fleet.load(38, daemons, 6_000, END_MS);
    fleet.at(LIMITED_AT_MS, () -> fleet.setLimit(0, 3.3));
    fleet.at(14_000, () -> fleet.kill(fleet.ownerOf(0)));

    fleet.run(END_MS);

    assertThat((double) fleet.arrivals(0, 19_000, 29_000)).isGreaterThan(0.5 * 33);
  }

  @ParameterizedTest
  @ValueSource(ints = {6, 84})
  void servesAllCallsBesideTargetWithoutLimit(int daemons) {
    LimitedFleet fleet = new LimitedFleet(daemons, 2, 7);
    fleet.load(38, daemons, 6_000, END_MS);
    fleet.at(LIMITED_AT_MS, () -> fleet.setLimit(0, 3.3));

    fleet.run(END_MS + 1_000);

    assertThat(fleet.mostArrivals(0, WINDOW_MS, LIMITED_AT_MS + NOTICE_MS))
        .isLessThanOrEqualTo(allowed(3.3));
    assertThat(fleet.refused()).isZero();
  }

  @ParameterizedTest
  @CsvSource({"6, 1", "6, 2", "84, 1", "84, 2"})
  void usesTargetFullyWithinTwoSecondsOfEndOfItsLimit(int daemons, int targets) {
    LimitedFleet fleet = new LimitedFleet(daemons, targets, 9);
    fleet.load(38, daemons, 6_000, END_MS);
    fleet.at(LIMITED_AT_MS, () -> fleet.setLimit(0, 3.3));
    fleet.at(20_000, () -> fleet.endLimit(0));

    fleet.run(END_MS);

    assertThat((double) fleet.arrivals(0, 22_000, 32_000)).isGreaterThan(0.7 * 380 / targets);
  }

  @Test
  void followsLimitThatChanges() {
    LimitedFleet fleet = new LimitedFleet(6, 1, 3);
    fleet.load(60, 6, 6_000, END_MS);
    fleet.at(LIMITED_AT_MS, () -> fleet.setLimit(0, 20));
    fleet.at(18_000, () -> fleet.setLimit(0, 2));
    fleet.at(28_000, () -> fleet.setLimit(0, 20));

    fleet.run(END_MS);

    assertThat((double) fleet.arrivals(0, 12_000, 18_000)).isBetween(0.75 * 120, 1.1 * 120);
    assertThat((double) fleet.arrivals(0, 19_000, 28_000)).isBetween(0.7 * 18, 1.2 * 18);
    assertThat((double) fleet.arrivals(0, 31_000, 37_000)).isBetween(0.75 * 120, 1.1 * 120);
  }

  private static int allowed(double limitPerSecond) {
    return (int) Math.floor(1.5 * limitPerSecond * WINDOW_MS / 1_000 + 5);
  }
}
