package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays fleets of daemons in front of engines that crash under requests with certain content. */
class DeadlyRequestTest {

  /** The platform's contact window on its small deployments. */
  private static final long WINDOW_MS = 3_000;

  private static final int FREE_CRASHES = 5;
  private static final int FREE_CRASHES_OF_ONE_REQUEST = 3;
  private static final int FURTHER_SENDS = 3;
  private static final long FROM_MS = 6_000;
  private static final long END_MS = 36_000;
  private static final double DEADLY_PER_SECOND = 2;
  private static final double SOUND_PER_SECOND = 9;

  /** A disturbance of the daemons or of the messages between them. */
  private enum Trouble {
    NONE,
    HALVES_CUT,
    ONE_CUT,
    ONE_FROZEN,
    RESTARTS,
    LATE_MESSAGES;

    private void disturb(CrashingFleet fleet) {
      switch (this) {
        case HALVES_CUT -> cut(fleet, (from, to) -> from % 2 != to % 2);
        case ONE_CUT -> cut(fleet, (from, to) -> from == 0 || to == 0);
        case ONE_FROZEN -> fleet.at(FROM_MS, () -> fleet.freeze(0, 4_000));
        case RESTARTS -> {
          for (int i = 0; i < fleet.daemons().size(); i++) {
            int daemon = i;
            fleet.at(FROM_MS + 3_000 + 700L * i, () -> fleet.restart(daemon, 500));
          }
        }
        case LATE_MESSAGES -> fleet.setMaxMessageDelay(250);
        default -> {}
      }
    }

    private static void cut(CrashingFleet fleet, BiPredicate<Integer, Integer> lost) {
      fleet.at(FROM_MS, () -> fleet.cut(lost));
      fleet.at(FROM_MS + 10_000, () -> fleet.cut((from, to) -> false));
    }
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void sixDaemonsStopSendingDeadlyPart(Trouble trouble) {
    CrashingFleet fleet = playDeadlyPart(6, 10, 1, 3, trouble);

    assertBounded(fleet, "dead");
    assertServesSound(fleet);
  }

  @ParameterizedTest
  @CsvSource({"62, 31, NONE", "84, 34, NONE", "84, 34, LATE_MESSAGES", "84, 34, HALVES_CUT"})
  void manyDaemonsStopSendingDeadlyPart(int daemons, int engines, Trouble trouble) {
    CrashingFleet fleet = playDeadlyPart(daemons, engines, 4, 5, trouble);

    assertBounded(fleet, "dead");
    assertServesSound(fleet);
  }

  private static CrashingFleet playDeadlyPart(
      int daemons, int engines, double load, long seed, Trouble trouble) {
    CrashingFleet fleet = new CrashingFleet(daemons, engines, seed);
    fleet.setDeadly(request -> request.parts().contains("dead"));
    loadSound(fleet, load);
    loadDeadly(fleet, DEADLY_PER_SECOND, END_MS);
    trouble.disturb(fleet);
    fleet.run(END_MS);
    return fleet;
  }

  @ParameterizedTest
  @CsvSource({"dead, shared", "shared, dead", "dead, ''"})
  void stopsSendingDeadlyPartWhateverItsPlace(String first, String second) {
    CrashingFleet fleet = new CrashingFleet(6, 10, 7);
    fleet.setDeadly(request -> request.parts().contains("dead"));
    loadSound(fleet, 1);
    fleet.load(
        "deadly",
        DEADLY_PER_SECOND,
        FROM_MS,
        END_MS,
        number ->
            second.isEmpty()
                ? List.of(first, "own-deadly-" + number)
                : List.of(first, second, "own-deadly-" + number));

    fleet.run(END_MS);

    assertBounded(fleet, "dead");
    assertServesSound(fleet);
  }

  @Test
  void stopsSendingTwoDeadlyPartsAtOnce() {
    CrashingFleet fleet = new CrashingFleet(6, 14, 9);
    fleet.setDeadly(
        request -> request.parts().contains("dead-1") || request.parts().contains("dead-2"));
    loadSound(fleet, 1);
    fleet.load(
        "deadly",
        2 * DEADLY_PER_SECOND,
        FROM_MS,
        END_MS,
        number -> List.of("shared", "dead-" + (1 + number % 2), "own-deadly-" + number));

    fleet.run(END_MS);

    assertBounded(fleet, "dead-1");
    assertBounded(fleet, "dead-2");
    assertServesSound(fleet);
  }

  @Test
  void stopsSendingDeadlyPartThatComesWithEverySharedPart() {
    CrashingFleet fleet = new CrashingFleet(6, 10, 11);
    fleet.setDeadly(request -> request.parts().contains("dead"));
    loadSound(fleet, 1);
    fleet.load(
        "deadly",
        DEADLY_PER_SECOND,
        FROM_MS,
        END_MS,
        number -> List.of("shared-" + number % 8, "dead", "own-deadly-" + number));

    fleet.run(END_MS);

    assertBounded(fleet, "dead");
  }

  @ParameterizedTest
  @CsvSource({
    "6, 10, draft",
    "6, 10, check",
    "6, 10, status",
    "6, 10, booking",
    "6, 3, status",
    "6, 3, booking",
    "84, 34, draft",
    "84, 4, status"
  })
  void stopsSendingRequestThatComesAgain(int daemons, int targets, String route) {
    CrashingFleet fleet = new CrashingFleet(daemons, targets, 17, route);
    fleet.setDeadly(request -> request.parts().contains("same"));
    loadSound(fleet, 1);
    fleet.load("deadly", 1, FROM_MS, END_MS, number -> List.of("shared", "subject-1", "same"));

    fleet.run(END_MS);

    assertBounded(fleet, "same", FREE_CRASHES_OF_ONE_REQUEST);
    assertRefusesNoSound(fleet);
    assertThat(fleet.servedShare("sound", FROM_MS + 3 * WINDOW_MS, END_MS)).isGreaterThan(0.95);
  }

  @ParameterizedTest
  @ValueSource(strings = {"status", "booking"})
  void refusesNoSoundCallIfTargetsCrashForReasonsOfTheirOwn(String route) {
    CrashingFleet fleet = new CrashingFleet(6, 4, 19, route);
    fleet.load("sound", 40, 2_000, END_MS, number -> List.of("popular-" + number % 3));
    for (long atMs = FROM_MS; atMs < END_MS; atMs += 1_100) {
      fleet.at(atMs, fleet::crashRandomEngine);
    }

    fleet.run(END_MS);

    assertRefusesNoSound(fleet);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void refusesNoSoundRequestIfEnginesCrashForReasonsOfTheirOwn(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    CrashingFleet fleet = new CrashingFleet(6, 10, seed);
    loadSound(fleet, 1);
    for (long atMs = FROM_MS; atMs < END_MS; atMs += random.nextLong(200, 3_000)) {
      fleet.at(atMs, fleet::crashRandomEngine);
    }

    fleet.run(END_MS);

    assertRefusesNoSound(fleet);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void refusesNoSoundRequestIfAllEnginesLosePowerAgainAndAgain(long seed) {
    CrashingFleet fleet = new CrashingFleet(6, 10, seed);
    loadSound(fleet, 1);
    for (long atMs = FROM_MS; atMs < END_MS; atMs += 6_000) {
      fleet.at(atMs, fleet::crashAllEngines);
    }

    fleet.run(END_MS);

    assertRefusesNoSound(fleet);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void stopsSendingDeadlyPartAmongOtherCrashes(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    CrashingFleet fleet = new CrashingFleet(6, 10, seed);
    fleet.setDeadly(request -> request.parts().contains("dead"));
    loadSound(fleet, 1);
    loadDeadly(fleet, random.nextDouble(0.5, 4), END_MS);
    for (long atMs = FROM_MS; atMs < END_MS; atMs += random.nextLong(1_000, 6_000)) {
      fleet.at(atMs, fleet::crashRandomEngine);
    }

    fleet.run(END_MS);

    assertBounded(fleet, "dead");
    assertRefusesNoSound(fleet);
  }

  @Test
  void servesPartAgainSoonAfterItIsMended() {
    long mendedAtMs = 30_000;
    long endMs = 200_000;
    CrashingFleet fleet = new CrashingFleet(6, 10, 13);
    fleet.setDeadly(request -> request.parts().contains("dead") && fleet.elapsedMs() < mendedAtMs);
    loadSound(fleet, 1);
    loadDeadly(fleet, 1, endMs);

    fleet.run(endMs);

    assertThat(fleet.servedShare("deadly", 140_000, endMs - 10_000)).isEqualTo(1);
  }

  private static void loadSound(CrashingFleet fleet, double load) {
    fleet.load(
        "sound",
        load * SOUND_PER_SECOND,
        2_000,
        END_MS - 9_500,
        number -> List.of("shared", "subject-" + number % 40, "own-" + number));
  }

  private static void loadDeadly(CrashingFleet fleet, double perSecond, long untilMs) {
    fleet.load(
        "deadly",
        perSecond,
        FROM_MS,
        untilMs,
        number -> List.of("shared", "dead", "own-deadly-" + number));
  }

  private static void assertServesSound(CrashingFleet fleet) {
    assertThat(fleet.servedShare("sound", FROM_MS + 2 * WINDOW_MS, END_MS)).isGreaterThan(0.95);
  }

  private static void assertRefusesNoSound(CrashingFleet fleet) {
    assertThat(fleet.requests("sound")).noneMatch(CrashingFleet.Request::isQuarantined);
  }

  private static void assertBounded(CrashingFleet fleet, String part) {
    assertBounded(fleet, part, FREE_CRASHES);
  }

  private static void assertBounded(CrashingFleet fleet, String part, int freeCrashes) {
    List<Long> crashesMs =
        fleet.crashes().stream()
            .filter(crash -> crash.cause().filter(one -> one.parts().contains(part)).isPresent())
            .map(CrashingFleet.Crash::atMs)
            .toList();
    long boundFromMs =
        crashesMs.size() < freeCrashes
            ? Long.MAX_VALUE
            : crashesMs.get(freeCrashes - 1) + WINDOW_MS;
    assertThat(fleet.deadlySends())
        .as("sends after crashes at %s", crashesMs)
        .filteredOn(sent -> sent.request().parts().contains(part) && sent.atMs() > boundFromMs)
        .hasSizeLessThanOrEqualTo(FURTHER_SENDS);
  }

  private static LongStream seeds() {
    return LongStream.rangeClosed(1, Long.getLong("crash.seeds", 20));
  }
}
