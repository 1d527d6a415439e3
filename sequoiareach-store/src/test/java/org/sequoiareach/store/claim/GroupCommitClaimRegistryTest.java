package org.sequoiareach.store.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.kv.FakeKeyValueService.Fate;

class GroupCommitClaimRegistryTest {

  private static final long PATIENCE_MS = 5_000;
  private static final Fate ROUND_TRIP_OF_5_MS = new Fate(false, 3, false, 2, false);

  private final ClaimWorld world = new ClaimWorld(2);

  @BeforeEach
  void openSession() {
    ClaimWorld.Attempt first = world.claim(0, "first", PATIENCE_MS);
    world.advance(100);
    assertThat(first.answer.join()).isEqualTo(ClaimAnswer.CLAIMED);
  }

  @ParameterizedTest
  @CsvSource({"RAN,FINISHED_BY_OTHER", "MAY_HAVE_RUN,HELD_BY_OTHER", "NOT_RUN,CLAIMED"})
  void settlementDecidesWhatTheNextAuthorIsTold(Verdict verdict, ClaimAnswer expected) {
    ClaimWorld.Attempt first = world.claim(0, "k", PATIENCE_MS);
    world.advance(100);
    world.settle(first, verdict);
    world.advance(100);
    ClaimWorld.Attempt second = world.claim(1, "k", PATIENCE_MS);
    world.advance(100);
    assertThat(second.answer.join()).isEqualTo(expected);
  }

  @Test
  void exactlyOneOfTwoDaemonsWins() {
    ClaimWorld.Attempt one = world.claim(0, "k", PATIENCE_MS);
    ClaimWorld.Attempt two = world.claim(1, "k", PATIENCE_MS);
    world.advance(1_000);
    assertThat(List.of(one.answer.join(), two.answer.join()))
        .containsExactlyInAnyOrder(ClaimAnswer.CLAIMED, ClaimAnswer.HELD_BY_OTHER);
  }

  @Test
  void answerLostAfterTheWriteIsRecognised() {
    Deque<Fate> fates = new ArrayDeque<>(List.of(Fate.LOST_AFTER));
    world.store().setFates(() -> fates.isEmpty() ? ROUND_TRIP_OF_5_MS : fates.remove());
    ClaimWorld.Attempt claim = world.claim(0, "k", PATIENCE_MS);
    world.advance(PATIENCE_MS);
    assertThat(claim.answer.join()).isEqualTo(ClaimAnswer.CLAIMED);
  }

  @Test
  void writeThatTakesEffectAfterGivingUpIsUndone() {
    Deque<Fate> fates = new ArrayDeque<>(List.of(new Fate(false, 60_000, false, 0, true)));
    world.store().setFates(() -> fates.isEmpty() ? ROUND_TRIP_OF_5_MS : fates.remove());
    ClaimWorld.Attempt late = world.claim(0, "k", 500);
    world.advance(120_000);
    assertThat(late.answer.join()).isEqualTo(ClaimAnswer.UNAVAILABLE);
    ClaimWorld.Attempt next = world.claim(1, "k", PATIENCE_MS);
    world.advance(1_000);
    assertThat(next.answer.join()).isEqualTo(ClaimAnswer.CLAIMED);
  }

  @ParameterizedTest
  @EnumSource(
      value = ClaimWorld.Weather.class,
      names = {"DOWN"})
  void outageIsAnsweredByTheDeadlineAndLeavesNothing(ClaimWorld.Weather weather) {
    world.setWeather(weather, 1);
    ClaimWorld.Attempt claim = world.claim(0, "k", 300);
    world.advance(300);
    assertThat(claim.answer.join()).isEqualTo(ClaimAnswer.UNAVAILABLE);
    world.finish();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 30, 59})
  void claimIsKeptForTheWholeWindow(int leaseAgeMinutes) {
    world.advance(Duration.ofMinutes(leaseAgeMinutes).toMillis());
    world.claim(0, "k", PATIENCE_MS);
    world.advance(Duration.ofHours(24).toMillis() - 1_000);
    ClaimWorld.Attempt within = world.claim(1, "k", PATIENCE_MS);
    world.advance(Duration.ofHours(2).toMillis());
    ClaimWorld.Attempt after = world.claim(1, "k", PATIENCE_MS);
    world.advance(1_000);
    assertThat(within.answer.join()).isEqualTo(ClaimAnswer.HELD_BY_OTHER);
    assertThat(after.answer.join()).isEqualTo(ClaimAnswer.CLAIMED);
  }

  @ParameterizedTest
  @CsvSource({"100,0.55", "1000,0.06", "5000,0.02"})
  void claimsUnderLoadShareTransactions(int claimsPerSecond, double mostCallsPerClaim) {
    world.store().setFates(() -> ROUND_TRIP_OF_5_MS);
    long callsBefore = world.store().calls();
    List<ClaimWorld.Attempt> claims =
        IntStream.range(0, claimsPerSecond)
            .mapToObj(i -> claimAfter(i, 1_000 / (double) claimsPerSecond))
            .toList();
    world.advance(1_000);
    assertThat(claims).allMatch(claim -> claim.isAnswered(ClaimAnswer.CLAIMED));
    double callsPerClaim = (world.store().calls() - callsBefore) / (double) claimsPerSecond;
    assertThat(callsPerClaim).isLessThanOrEqualTo(mostCallsPerClaim);
  }

  private ClaimWorld.Attempt claimAfter(int index, double gapMs) {
    long dueMs = (long) ((index + 1) * gapMs) - (long) (index * gapMs);
    world.advance(dueMs);
    return world.claim(0, "load-" + index, PATIENCE_MS);
  }
}
