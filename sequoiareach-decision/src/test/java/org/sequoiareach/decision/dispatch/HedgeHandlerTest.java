package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.request.Verdict;

class HedgeHandlerTest {

  private static final double RATIO = 0.5;

  private DispatchFixture fixture = HedgeFixtures.learned(RATIO);

  /** Guards against a second attempt that waits for the next tick of 50 ms. */
  @Test
  void asksSecondTargetOnceAnswerIsLaterThanUsual() {
    final String call = fixture.call("status");
    long wakeUpMs =
        fixture.all(DispatchEffect.WakeAt.class).stream()
            .mapToLong(DispatchEffect.WakeAt::atMs)
            .max()
            .orElseThrow();
    assertThat(wakeUpMs - fixture.nowMs()).isBetween(HedgeFixtures.USUAL_MS, 30L);

    wakeUp(wakeUpMs - fixture.nowMs() - 1);
    assertThat(HedgeFixtures.hedges(fixture)).isEmpty();
    wakeUp(1);

    DispatchEffect.SendCall second = hedge();
    DispatchEffect.SendCall first = fixture.lastSend(call);
    assertThat(second.target().id()).isNotEqualTo(first.target().id());
    assertThat(second.attempt()).isEqualTo(2);
    assertThat(second.deadlineMs()).isEqualTo(first.deadlineMs());
    fixture.tick(500);
    assertThat(HedgeFixtures.hedges(fixture)).as("hedged attempts of one call").hasSize(1);
  }

  /** Guards against requests that run twice although they may not, and against the default. */
  @ParameterizedTest
  @CsvSource({"0.5, booking", "0.5, check", "0.5, draft", "0, status"})
  void neverAsksSecondTargetWhereItIsNotAllowed(double ratio, String route) {
    HedgeFixtures.setRatio(fixture, ratio);
    if (route.equals("check") || route.equals("draft")) {
      fixture.generate(route, 1_000, 100);
    } else {
      fixture.call(route);
    }
    fixture.tick(400);

    assertThat(HedgeFixtures.hedges(fixture)).isEmpty();
    assertThat(HedgeFixtures.outcomes(fixture)).isEmpty();
  }

  @Test
  void doesNotAskBeforeAnswersAreKnown() {
    fixture = HedgeFixtures.hedging(RATIO);
    fixture.call("status");
    fixture.tick(400);
    assertThat(HedgeFixtures.hedges(fixture)).isEmpty();
  }

  /** Guards against extra work for targets that leave, rest or are busy, and during a drain. */
  @ParameterizedTest
  @ValueSource(strings = {"no-target", "busy", "draining", "hedge-budget", "max-targets"})
  void withholdsSecondAttemptAndSaysWhy(String reason) {
    if (reason.equals("hedge-budget")) {
      HedgeFixtures.setRatio(fixture, 0.001);
    }
    if (reason.equals("busy")) {
      for (int i = 0; i < 13; i++) {
        fixture.call("booking");
      }
    }
    final String call = fixture.call("status");
    final String at = fixture.lastSend(call).target().id();
    if (reason.equals("no-target")) {
      DispatchFixture.targets().stream()
          .filter(target -> !target.id().equals(at))
          .forEach(
              target ->
                  fixture.apply(
                      new DispatchEvent.BackoffRequested(
                          fixture.nowMs(), target.id(), fixture.nowMs() + 5_000, "report")));
    } else if (reason.equals("draining")) {
      fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 8_000));
    } else if (reason.equals("max-targets")) {
      fixture.failed(call, AttemptFault.LOST, false);
      assertThat(fixture.sends(call)).hasSize(2);
    }
    fixture.tick(100);

    assertThat(HedgeFixtures.hedges(fixture)).isEmpty();
    assertThat(HedgeFixtures.outcomes(fixture)).containsExactly("withheld." + reason);
  }

  /** Guards against an answer that is lost because the other attempt failed. */
  @ParameterizedTest
  @CsvSource({"1, SERVER_ERROR", "1, LOST", "2, SERVER_ERROR", "2, REJECTED", "2, NOT_SENT"})
  void leavesCallToOtherAttemptWhenOneFails(int failed, AttemptFault fault) {
    String call = hedgedCall();

    List<Effect> effects = fail(call, failed, fault);

    assertThat(effects).noneMatch(DispatchEffect.SendCall.class::isInstance);
    assertThat(fixture.refusal(call)).isEmpty();
    assertThat(fixture.all(DispatchEffect.DeliverHeldAnswer.class)).isEmpty();
    int other = 3 - failed;
    fixture.apply(new DispatchEvent.AnswerDelivered(fixture.nowMs(), call, other, 200, ""));
    assertThat(HedgeFixtures.outcomes(fixture))
        .containsExactly("sent", other == 2 ? "won" : "lost");
    assertUseReleased();
  }

  /** Guards against a "not run" that holds for one of two attempts only. */
  @ParameterizedTest
  @CsvSource({
    "LOST, REJECTED, MAY_HAVE_RUN",
    "REJECTED, LOST, MAY_HAVE_RUN",
    "LOST, LOST, MAY_HAVE_RUN"
  })
  void combinesVerdictsWhenBothFail(AttemptFault first, AttemptFault second, Verdict verdict) {
    String call = hedgedCall();
    fail(call, 1, first);
    fail(call, 2, second);
    fixture.tick(100);
    while (fixture.refusal(call).isEmpty()) {
      fixture.failed(call, AttemptFault.REJECTED, false);
    }

    assertThat(fixture.refusal(call).orElseThrow().verdict()).isEqualTo(verdict);
    assertThat(HedgeFixtures.outcomes(fixture)).containsExactly("sent", "lost");
    assertUseReleased();
  }

  @Test
  void deliversHeldErrorOnceBothAttemptsFailed() {
    String call = hedgedCall();
    fail(call, 2, AttemptFault.SERVER_ERROR);
    fail(call, 1, AttemptFault.SERVER_ERROR);

    assertThat(fixture.all(DispatchEffect.DeliverHeldAnswer.class)).hasSize(1);
    assertUseReleased();
  }

  /** Guards against work that goes on, or counts as going on, after nobody waits for it. */
  @ParameterizedTest
  @ValueSource(strings = {"left", "won1", "won2", "unannounced", "deadline"})
  void releasesBothTargetsWhenCallEnds(String how) {
    String call = hedgedCall();
    if (how.equals("left")) {
      fixture.apply(new DispatchEvent.CallerLeft(fixture.nowMs(), call));
    } else if (how.equals("deadline")) {
      fixture.tick(DispatchFixture.LIMIT_MS);
      assertThat(fixture.refusal(call).orElseThrow().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    } else {
      int winner = how.equals("won2") ? 2 : 1;
      if (!how.equals("unannounced")) {
        fixture.apply(new HedgeEvent.AttemptWon(fixture.nowMs(), call, winner));
      }
      fixture.apply(new DispatchEvent.AnswerDelivered(fixture.nowMs(), call, winner, 200, ""));
    }

    assertThat(HedgeFixtures.outcomes(fixture))
        .containsExactly("sent", how.equals("won2") ? "won" : "lost");
    assertUseReleased();
  }

  /** Guards against a call that is refused although its answer is being delivered. */
  @Test
  void handlesFailureOfAnswerThatHasStartedAsThatOfTheOnlyAttempt() {
    String call = hedgedCall();
    fixture.apply(new HedgeEvent.AttemptWon(fixture.nowMs(), call, 2));
    fixture.apply(new DispatchEvent.AnswerStarted(fixture.nowMs(), call, 2));
    fixture.apply(
        new DispatchEvent.AttemptFailed(
            fixture.nowMs(), call, 2, AttemptFault.BROKEN_ANSWER, 0, true, false, "cut"));

    assertThat(fixture.wasCut(call)).isTrue();
    assertUseReleased();
  }

  /** Guards against extra work that no caller profits from, and against giving up for good. */
  @Test
  void pausesWhereSecondAttemptsRarelyWinAndTriesAgainLater() {
    for (int i = 0; i < 7; i++) {
      String call = hedgedCall();
      fixture.apply(new HedgeEvent.AttemptWon(fixture.nowMs(), call, 1));
      fixture.apply(new DispatchEvent.AnswerDelivered(fixture.nowMs(), call, 1, 200, ""));
    }
    final int before = HedgeFixtures.hedges(fixture).size();
    final String late = fixture.call("status");
    fixture.tick(50);
    fixture.delivered(late);
    assertThat(HedgeFixtures.outcomes(fixture)).endsWith("withheld.rarely-wins");
    assertThat(HedgeFixtures.hedges(fixture)).hasSize(before);

    fixture.tick(4_000);
    hedgedCall();
  }

  /** Guards against hedged requests that leave no retry for requests that fail. */
  @Test
  void leavesRetriesToFailedCalls() {
    HedgeFixtures.setRatio(fixture, 1);
    int calls = 0;
    while (!HedgeFixtures.outcomes(fixture).contains("withheld.retry-budget") && calls < 200) {
      String call = fixture.call("status");
      fixture.tick(50);
      fixture.apply(new HedgeEvent.AttemptWon(fixture.nowMs(), call, 2));
      fixture.apply(new DispatchEvent.AnswerDelivered(fixture.nowMs(), call, 2, 200, ""));
      calls++;
    }
    assertThat(HedgeFixtures.outcomes(fixture)).contains("withheld.retry-budget");

    String failing = fixture.call("status");
    fixture.failed(failing, AttemptFault.LOST, false);
    assertThat(fixture.sends(failing)).hasSize(2);
  }

  private List<Effect> fail(String call, int attempt, AttemptFault fault) {
    return fixture.apply(
        new DispatchEvent.AttemptFailed(
            fixture.nowMs(), call, attempt, fault, 0, false, false, "seen"));
  }

  private String hedgedCall() {
    int before = HedgeFixtures.hedges(fixture).size();
    String call = fixture.call("status");
    fixture.tick(50);
    assertThat(HedgeFixtures.hedges(fixture)).hasSize(before + 1);
    return call;
  }

  private void wakeUp(long afterMs) {
    fixture.advance(afterMs);
    fixture.apply(new HedgeEvent.WakeUp(fixture.nowMs()));
  }

  private DispatchEffect.SendCall hedge() {
    List<DispatchEffect.HedgeCall> hedges = HedgeFixtures.hedges(fixture);
    return hedges.get(hedges.size() - 1).send();
  }

  /** Checks that only the first attempt of the next call counts when its second one is sent. */
  private void assertUseReleased() {
    fixture.tick(4_000);
    hedgedCall();
    assertThat(fixture.all(Effect.LogDecision.class))
        .filteredOn(line -> line.decision().equals("hedge"))
        .last()
        .satisfies(line -> assertThat(line.reason()).endsWith("freeSlots=17/18"));
  }
}
