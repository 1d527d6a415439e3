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
import org.sequoiareach.store.kv.FakeKeyValueService.CallOutcome;

class GroupCommitClaimRegistryTest {

  private static final long TIMEOUT_MS = 5_000;
  private static final CallOutcome ROUND_TRIP_OF_5_MS = new CallOutcome(false, 3, false, 2, false);

  private final ClaimSimulation simulation = new ClaimSimulation(2);

  @BeforeEach
  void openSession() {
    ClaimSimulation.Attempt first = simulation.claim(0, "first", TIMEOUT_MS);
    simulation.advance(100);
    assertThat(first.answer.join()).isEqualTo(ClaimAnswer.CLAIMED);
  }

  @ParameterizedTest
  @CsvSource({"RAN,FINISHED_BY_OTHER", "MAY_HAVE_RUN,HELD_BY_OTHER", "NOT_RUN,CLAIMED"})
  void settlementDeterminesAnswerToNextAuthor(Verdict verdict, ClaimAnswer expected) {
    ClaimSimulation.Attempt first = simulation.claim(0, "k", TIMEOUT_MS);
    simulation.advance(100);
    simulation.settle(first, verdict);
    simulation.advance(100);
    ClaimSimulation.Attempt second = simulation.claim(1, "k", TIMEOUT_MS);
    simulation.advance(100);
    assertThat(second.answer.join()).isEqualTo(expected);
  }

  @Test
  void exactlyOneOfTwoConcurrentClaimsSucceeds() {
    ClaimSimulation.Attempt one = simulation.claim(0, "k", TIMEOUT_MS);
    ClaimSimulation.Attempt two = simulation.claim(1, "k", TIMEOUT_MS);
    simulation.advance(1_000);
    assertThat(List.of(one.answer.join(), two.answer.join()))
        .containsExactlyInAnyOrder(ClaimAnswer.CLAIMED, ClaimAnswer.HELD_BY_OTHER);
  }

  @Test
  void claimIsConfirmedAfterLostResponse() {
    Deque<CallOutcome> outcomes = new ArrayDeque<>(List.of(CallOutcome.RESPONSE_LOST));
    simulation
        .store()
        .setOutcomes(() -> outcomes.isEmpty() ? ROUND_TRIP_OF_5_MS : outcomes.remove());
    ClaimSimulation.Attempt claim = simulation.claim(0, "k", TIMEOUT_MS);
    simulation.advance(TIMEOUT_MS);
    assertThat(claim.answer.join()).isEqualTo(ClaimAnswer.CLAIMED);
  }

  @Test
  void writeThatTakesEffectAfterDeadlineIsUndone() {
    Deque<CallOutcome> outcomes =
        new ArrayDeque<>(List.of(new CallOutcome(false, 60_000, false, 0, true)));
    simulation
        .store()
        .setOutcomes(() -> outcomes.isEmpty() ? ROUND_TRIP_OF_5_MS : outcomes.remove());
    ClaimSimulation.Attempt late = simulation.claim(0, "k", 500);
    simulation.advance(120_000);
    assertThat(late.answer.join()).isEqualTo(ClaimAnswer.UNAVAILABLE);
    ClaimSimulation.Attempt next = simulation.claim(1, "k", TIMEOUT_MS);
    simulation.advance(1_000);
    assertThat(next.answer.join()).isEqualTo(ClaimAnswer.CLAIMED);
  }

  @ParameterizedTest
  @EnumSource(
      value = ClaimSimulation.ServiceCondition.class,
      names = {"DOWN"})
  void claimDuringOutageIsAnsweredByDeadlineAndLeavesNoEntry(
      ClaimSimulation.ServiceCondition condition) {
    simulation.setServiceCondition(condition, 1);
    ClaimSimulation.Attempt claim = simulation.claim(0, "k", 300);
    simulation.advance(300);
    assertThat(claim.answer.join()).isEqualTo(ClaimAnswer.UNAVAILABLE);
    simulation.recoverAndCheckKeys();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 30, 59})
  void claimIsKeptForMinimumLifetime(int leaseAgeMinutes) {
    simulation.advance(Duration.ofMinutes(leaseAgeMinutes).toMillis());
    simulation.claim(0, "k", TIMEOUT_MS);
    simulation.advance(Duration.ofHours(24).toMillis() - 1_000);
    ClaimSimulation.Attempt within = simulation.claim(1, "k", TIMEOUT_MS);
    simulation.advance(Duration.ofHours(2).toMillis());
    ClaimSimulation.Attempt after = simulation.claim(1, "k", TIMEOUT_MS);
    simulation.advance(1_000);
    assertThat(within.answer.join()).isEqualTo(ClaimAnswer.HELD_BY_OTHER);
    assertThat(after.answer.join()).isEqualTo(ClaimAnswer.CLAIMED);
  }

  @ParameterizedTest
  @CsvSource({"100,0.55", "1000,0.06", "5000,0.02"})
  void claimsUnderLoadShareTransactions(int claimsPerSecond, double maxCallsPerClaim) {
    simulation.store().setOutcomes(() -> ROUND_TRIP_OF_5_MS);
    long callsBefore = simulation.store().calls();
    List<ClaimSimulation.Attempt> claims =
        IntStream.range(0, claimsPerSecond)
            .mapToObj(i -> claimAfter(i, 1_000 / (double) claimsPerSecond))
            .toList();
    simulation.advance(1_000);
    assertThat(claims).allMatch(claim -> claim.isAnswered(ClaimAnswer.CLAIMED));
    double callsPerClaim = (simulation.store().calls() - callsBefore) / (double) claimsPerSecond;
    assertThat(callsPerClaim).isLessThanOrEqualTo(maxCallsPerClaim);
  }

  private ClaimSimulation.Attempt claimAfter(int index, double gapMs) {
    long dueMs = (long) ((index + 1) * gapMs) - (long) (index * gapMs);
    simulation.advance(dueMs);
    return simulation.claim(0, "load-" + index, TIMEOUT_MS);
  }
}
