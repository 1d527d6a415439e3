package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.StatedRate;

/** Tests how one daemon places calls on targets that state a rate limit. */
class RateLimitPlacementTest {

  private static final double LIMIT_PER_SECOND = 20;

  private final DispatchFixture fixture = DispatchFixture.ready();

  @Test
  void prefersTargetsWithoutLimit() {
    limitDesks(1);

    List<String> targets =
        IntStream.range(0, 5)
            .mapToObj(i -> fixture.lastSend(fixture.call("booking")).target().id())
            .toList();

    assertThat(targets).doesNotContain("desk0");
  }

  @Test
  void asksLimitedTargetOnceLatestAnswerIsOutdated() {
    limitDesks(1);
    fixture.tick(1_050);

    assertThat(fixture.lastSend(fixture.call("booking")).target().id()).isEqualTo("desk0");
    assertThat(fixture.lastSend(fixture.call("booking")).target().id()).isNotEqualTo("desk0");
  }

  @Test
  void usesPermitOfLimitedTargetWhileOthersHaveNoFreeSlot() {
    limitDesks(1);
    IntStream.range(0, 12).forEach(i -> fixture.call("booking"));
    fixture.tick(300);

    assertThat(fixture.lastSend(fixture.call("booking")).target().id()).isEqualTo("desk0");
    assertThat(fixture.lastSend(fixture.call("booking")).target().id()).isNotEqualTo("desk0");
  }

  @Test
  void refusesAtOnceWithReturnWhatNoTargetAcceptsInTime() {
    limitDesks(3);

    List<String> calls = IntStream.range(0, 12).mapToObj(i -> fixture.call("booking")).toList();

    List<DispatchEffect.RefuseCall> refusals =
        calls.stream().map(fixture::refusal).flatMap(Optional::stream).toList();
    assertThat(refusals).isNotEmpty().hasSizeLessThan(12);
    assertThat(refusals)
        .allSatisfy(
            refusal -> {
              assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
              assertThat(refusal.retryAfterMs()).isPositive();
            });
  }

  @Test
  void sendsWaitingCallWhenItsPermitStarts() {
    limitDesks(3);
    String waiting = fixture.call("booking");
    assertThat(fixture.sends(waiting)).isEmpty();

    fixture.tick(300);

    assertThat(fixture.sends(waiting)).hasSize(1);
  }

  @Test
  void deliversErrorOfTargetIfNoPermitForSecondSendIsLeft() {
    String lookup = fixture.call("status");
    limitDesks(3);
    IntStream.range(0, 12).forEach(i -> fixture.call("booking"));

    fixture.failed(lookup, AttemptFault.SERVER_ERROR, false);

    assertThat(fixture.all(DispatchEffect.DeliverHeldAnswer.class))
        .containsExactly(new DispatchEffect.DeliverHeldAnswer(lookup));
    assertThat(fixture.refusal(lookup)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void requestsReportsOfLimitedEngineAsPartOfItsLimit(boolean limited) {
    String run = fixture.generate(100, 100);
    String engine = fixture.lastSend(run).target().id();
    if (limited) {
      fixture.state(run, StatedRate.of(1));
    }

    fixture.tick(10_000);

    long reports =
        fixture.all(DispatchEffect.AskReport.class).stream()
            .filter(ask -> ask.target().id().equals(engine))
            .count();
    assertThat(reports).isBetween(limited ? 3L : 9L, limited ? 5L : 11L);
  }

  @Test
  void movesRunToEngineWithoutLimit() {
    String limitedRun = fixture.generate(100, 100);
    fixture.state(limitedRun, StatedRate.of(1));
    String run = fixture.generate(100, 100);
    fixture.started(run);

    fixture.apply(
        new DispatchEvent.TargetLeaves(fixture.nowMs(), fixture.lastSend(run).target().id()));

    assertThat(fixture.lastCopy(run).destinationAddress())
        .isNotEqualTo(fixture.lastSend(limitedRun).target().address());
  }

  /** Lets the first targets of the plain service state a limit. */
  private void limitDesks(int count) {
    IntStream.range(0, count).forEach(i -> stateLimitOf("desk" + i));
  }

  private void stateLimitOf(String targetId) {
    List<String> calls = new ArrayList<>(List.of(fixture.call("booking")));
    while (!fixture.lastSend(calls.get(0)).target().id().equals(targetId)) {
      calls.add(0, fixture.call("booking"));
    }
    fixture.state(calls.get(0), StatedRate.of(LIMIT_PER_SECOND));
    calls.forEach(fixture::delivered);
  }
}
