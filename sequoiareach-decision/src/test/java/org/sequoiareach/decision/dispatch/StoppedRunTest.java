package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.route.RoutedTarget;

/** Tests that a run that was stopped on order is continued while an engine may still take it. */
class StoppedRunTest {

  private final DispatchFixture fixture = DispatchFixture.ready();

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void returnsToSourceWhileBackoffOfHolderLasts(boolean answerEndsFirst) {
    String call = stopRunTowardsBackoff(0, 600);
    final RoutedTarget source = fixture.lastSend(call).target();
    endCopyAndAnswer(call, answerEndsFirst);

    assertThat(fixture.wasCut(call)).isFalse();
    assertContinuesAt(call, source.address());
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void waitsForEndOfBackoffOfHolderLateAfterNotice(boolean answerEndsFirst) {
    String call = stopRunTowardsBackoff(1_250, 600);
    endCopyAndAnswer(call, answerEndsFirst);
    fixture.tick(300);
    assertThat(fixture.wasCut(call)).isFalse();
    assertThat(fixture.sends(call)).hasSize(1);
    fixture.tick(700);

    assertContinuesAt(call, fixture.lastCopy(call).destinationAddress());
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptFault.class,
      names = {"NOT_SENT", "OUTDATED", "REJECTED"})
  void returnsToHolderWhenContinuationAtSourceFailsToo(AttemptFault fault) {
    String call = stopRun();
    final String holder = fixture.lastCopy(call).destinationAddress();
    final RoutedTarget source = fixture.lastSend(call).target();
    fixture.copied(call, 9, CopyOutcome.COPIED, "h1");
    fixture.failed(call, fault, true);
    assertContinuesAt(call, source.address());
    fixture.failed(call, fault, true);
    fixture.tick(100);

    assertThat(fixture.wasCut(call)).isFalse();
    assertContinuesAt(call, holder);
  }

  /** The source leaves soon, so only the holder is left. */
  @ParameterizedTest
  @EnumSource(
      value = AttemptFault.class,
      names = {"NOT_SENT", "OUTDATED", "REJECTED"})
  void repeatsContinuationAtHolderLateAfterNotice(AttemptFault fault) {
    String call = startRun();
    fixture.markLeaving(call);
    fixture.copied(call, 700, CopyOutcome.COPIED, "h1");
    fixture.copied(call, 600, CopyOutcome.COPIED, "h1");
    fixture.copied(call, 50, CopyOutcome.COPIED, "h1");
    final String holder = fixture.lastCopy(call).destinationAddress();
    fixture.failed(call, fault, true);
    fixture.tick(100);

    assertThat(fixture.wasCut(call)).isFalse();
    assertThat(fixture.sends(call)).hasSize(3);
    assertContinuesAt(call, holder);
  }

  @ParameterizedTest
  @CsvSource({"NOBODY_THERE, NOBODY_THERE", "WRONG_TARGET, NOBODY_THERE"})
  void cutsStoppedRunOnceHolderAndSourceAreGone(AttemptFault first, AttemptFault second) {
    String call = stopRun();
    fixture.copied(call, 9, CopyOutcome.COPIED, "h1");
    fixture.failed(call, first, true);
    fixture.failed(call, second, true);

    assertThat(fixture.sends(call)).hasSize(3);
    assertThat(fixture.wasCut(call)).isTrue();
  }

  /** Guards against runs that go on at two engines. */
  @ParameterizedTest
  @EnumSource(
      value = AttemptFault.class,
      names = {"LOST", "UNCONFIRMED_REJECTION", "BROKEN_ANSWER"})
  void doesNotContinueRunAgainThatHolderMayRun(AttemptFault fault) {
    String call = stopRun();
    fixture.copied(call, 9, CopyOutcome.COPIED, "h1");
    fixture.failed(call, fault, true);
    fixture.tick(1_000);

    assertThat(fixture.sends(call)).hasSize(2);
    assertThat(fixture.wasCut(call)).isTrue();
  }

  /** Guards against a third run after a run and its continuation were lost at the same engine. */
  @Test
  void runsCallAnewOnceWhenItsContinuationIsLostAtSource() {
    String call = stopRun("check");
    fixture.failed(call, AttemptFault.LOST, true);
    fixture.copied(call, 9, CopyOutcome.COPIED, "h1");
    fixture.failed(call, AttemptFault.NOT_SENT, true);
    assertContinuesAt(call, fixture.sends(call).get(0).target().address());
    fixture.failUntilEnded(call, AttemptFault.LOST, true);

    assertThat(fixture.newRuns(call)).hasSize(2);
    assertThat(fixture.wasCut(call)).isTrue();
  }

  /** Guards against a copy that is released for a new run that no target can take. */
  @Test
  void keepsCopyOfResumableRunWhileNoOtherTargetIsThere() {
    String call = stopRun("check");
    final String source = fixture.lastSend(call).target().address();
    fixture.copied(call, 9, CopyOutcome.COPIED, "h1");
    final String holder = fixture.lastSend(call).target().address();
    DispatchFixture.targets().stream()
        .filter(target -> !List.of(source, holder).contains(target.address()))
        .forEach(target -> markLeaving(target.address()));
    failAtBothEngines(call);

    assertContinuesAt(call, holder);
  }

  /** Guards against a copy that is released for a new run that the retry budget forbids. */
  @Test
  void keepsCopyOfResumableRunWhileRetryBudgetIsUsedUp() {
    String call = stopRun("check");
    fixture.copied(call, 9, CopyOutcome.COPIED, "h1");
    final String holder = fixture.lastSend(call).target().address();
    boolean retried = true;
    while (retried) {
      String other = fixture.generate("check", 100, 10);
      fixture.failed(other, AttemptFault.REJECTED, false);
      retried = fixture.sends(other).size() > 1;
      if (retried) {
        // A call that stays would take a slot; one that waits for a slot uses up no budget.
        fixture.delivered(other);
      }
    }
    failAtBothEngines(call);

    assertContinuesAt(call, holder);
  }

  private void failAtBothEngines(String call) {
    fixture.failed(call, AttemptFault.NOT_SENT, true);
    fixture.failed(call, AttemptFault.OUTDATED, true);
    fixture.tick(100);
  }

  /** Guards against rejected continuations that use up the retries of the service. */
  @ParameterizedTest
  @ValueSource(strings = {"draft", "check"})
  void offersRejectedRunToEachEngineTwice(String route) {
    String call = stopRun(route);
    fixture.copied(call, 9, CopyOutcome.COPIED, "h1");
    fixture.failUntilEnded(call, AttemptFault.REJECTED, true);

    long continuations =
        fixture.sends(call).stream().filter(send -> send.continuation().isPresent()).count();
    assertThat(continuations).isEqualTo(4);
    assertThat(fixture.wasCut(call)).isTrue();
  }

  /** Guards against continuations at an engine that may not be sent anything any more. */
  @Test
  void offersNoRunToHolderThatHasBeenLeavingForLong() {
    String call = stopRun();
    fixture.copied(call, 9, CopyOutcome.COPIED, "h1");
    String holder = fixture.lastSend(call).target().address();
    markLeaving(holder);
    fixture.failed(call, AttemptFault.NOT_SENT, true);
    fixture.failed(call, AttemptFault.NOT_SENT, true);
    fixture.advance(400);
    fixture.tick(2_000);

    assertThat(fixture.sends(call)).hasSize(4);
    assertThat(fixture.lastSend(call).target().address()).isNotEqualTo(holder);
  }

  @Test
  void endsCallWhoseStoppedRunNoEngineTakesInTime() {
    String call = stopRunTowardsBackoff(1_250, 30_000);
    endCopyAndAnswer(call, true);
    fixture.tick(4_000);

    assertThat(fixture.sends(call)).hasSize(1);
    assertThat(fixture.wasCut(call)).isTrue();
    assertThat(fixture.all(DispatchEffect.ReleaseCopy.class)).hasSize(1);
  }

  /** Guards against runs that are stopped for a destination that is known to leave. */
  @Test
  void copiesRunToAnotherEngineIfItsDestinationLeaves() {
    String call = startRun();
    fixture.markLeaving(call);
    final String leaving = fixture.lastCopy(call).destinationAddress();
    markLeaving(leaving);
    fixture.copied(call, 10, CopyOutcome.COPIED, "h1");
    assertThat(fixture.copies(call)).noneMatch(copy -> copy.stop());
    fixture.tick(200);

    assertThat(fixture.copies(call)).hasSize(2);
    assertThat(fixture.lastCopy(call).destinationAddress()).isNotEqualTo(leaving);
  }

  @Test
  void stopsRunForLeavingDestinationLateAfterNotice() {
    String call = startRun();
    fixture.markLeaving(call);
    final String leaving = fixture.lastCopy(call).destinationAddress();
    markLeaving(leaving);
    fixture.copied(call, 1_250, CopyOutcome.COPIED, "h1");

    assertThat(fixture.lastCopy(call).stop()).isTrue();
    assertThat(fixture.lastCopy(call).destinationAddress()).isEqualTo(leaving);
  }

  private String startRun() {
    return startRun("draft");
  }

  private String startRun(String route) {
    String call = fixture.generate(route, 3_000, 2_000);
    fixture.started(call);
    return call;
  }

  /** Starts a run and copies it until the order to stop it is on its way. */
  private String stopRun() {
    return stopRun("draft");
  }

  private String stopRun(String route) {
    String call = startRun(route);
    fixture.markLeaving(call);
    fixture.copied(call, 180, CopyOutcome.COPIED, "h1");
    fixture.copied(call, 10, CopyOutcome.COPIED, "h1");
    assertThat(fixture.lastCopy(call).stop()).isTrue();
    return call;
  }

  /** Stops a run whose destination is in a backoff, the exceptions of which others have used. */
  private String stopRunTowardsBackoff(long copyMs, long backoffMs) {
    List<String> runs = startThreeRunsAtOneEngine();
    final String engine = fixture.lastSend(runs.get(0)).target().id();
    fixture.markLeaving(runs.get(0));
    String holder = fixture.lastCopy(runs.get(0)).destinationAddress();
    assertThat(runs).allMatch(run -> fixture.lastCopy(run).destinationAddress().equals(holder));
    fixture.advance(copyMs);
    for (String run : runs) {
      fixture.copied(run, 1, CopyOutcome.COPIED, "h-" + run);
    }
    assertThat(runs).allMatch(run -> fixture.lastCopy(run).stop());
    fixture.apply(
        new DispatchEvent.BackoffRequested(
            fixture.nowMs(), idOf(holder), fixture.nowMs() + backoffMs, "r0"));
    runs.subList(1, 3).forEach(run -> fixture.copied(run, 1, CopyOutcome.COPIED, "h-" + run));
    assertThat(runs.subList(1, 3))
        .allMatch(run -> !fixture.lastSend(run).target().id().equals(engine));
    return runs.get(0);
  }

  /** Ends the final copy and the answer of the stopped source, which are reported in any order. */
  private void endCopyAndAnswer(String call, boolean answerEndsFirst) {
    int attempt = fixture.lastSend(call).attempt();
    DispatchEvent answerEnd =
        new DispatchEvent.AttemptFailed(
            fixture.nowMs(), call, attempt, AttemptFault.BROKEN_ANSWER, 0, true, false, "stopped");
    if (answerEndsFirst) {
      fixture.apply(answerEnd);
    }
    fixture.copied(call, 9, CopyOutcome.COPIED, "h1");
    if (!answerEndsFirst) {
      fixture.apply(answerEnd);
    }
  }

  private List<String> startThreeRunsAtOneEngine() {
    Map<String, List<String>> runs = new HashMap<>();
    while (true) {
      String call = fixture.generate(10, 10);
      fixture.started(call);
      List<String> same =
          runs.computeIfAbsent(fixture.lastSend(call).target().id(), id -> new ArrayList<>());
      same.add(call);
      if (same.size() == 3) {
        return same;
      }
    }
  }

  private void markLeaving(String address) {
    fixture.apply(
        new DispatchEvent.TargetChanged(fixture.nowMs(), 12, targetAt(address).asLeaving()));
  }

  private static String idOf(String address) {
    return targetAt(address).id();
  }

  private static RoutedTarget targetAt(String address) {
    return DispatchFixture.targets().stream()
        .filter(target -> target.address().equals(address))
        .findFirst()
        .orElseThrow();
  }

  private void assertContinuesAt(String call, String address) {
    assertThat(fixture.lastSend(call).target().address()).isEqualTo(address);
    assertThat(fixture.lastSend(call).continuation()).isPresent();
  }
}
