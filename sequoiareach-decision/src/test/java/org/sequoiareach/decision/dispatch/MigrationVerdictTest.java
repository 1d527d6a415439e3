package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.RoutedTarget;

/** Tests what is reported of generations, and whether they are run anew, around a migration. */
class MigrationVerdictTest {

  private final DispatchFixture fixture = DispatchFixture.ready();

  /** A continuation that never ran says nothing of the run that it replaced. */
  @ParameterizedTest
  @EnumSource(
      value = AttemptFault.class,
      names = {"NOT_SENT", "NOBODY_THERE", "REJECTED", "WRONG_TARGET", "OUTDATED"})
  void neitherRepeatsMovedRunNorRefusesItAsNotRunWhenContinuationFails(AttemptFault fault) {
    String call = moveRun("draft");
    fixture.failUntilEnded(call, fault, false);

    assertRefusedAfterOneRun(call);
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptFault.class,
      names = {"REJECTED", "LOST"})
  void neitherRepeatsMovedRunNorRefusesItAsNotRunWhenSourceFailsLate(AttemptFault fault) {
    String call = moveRun("draft");
    fixture.failed(call, AttemptFault.REJECTED, false);
    fixture.apply(
        new DispatchEvent.AttemptFailed(
            fixture.nowMs(), call, 1, fault, 0, false, false, "replaced"));
    fixture.failUntilEnded(call, AttemptFault.REJECTED, false);

    assertRefusedAfterOneRun(call);
  }

  @Test
  void neitherRepeatsCopiedRunNorRefusesItAsNotRunWhenSourceRejectsIt() {
    String call = fixture.generate(3_000, 2_000);
    fixture.markLeaving(call);
    fixture.copied(call, 180, CopyOutcome.COPIED, "h1");
    fixture.failed(call, AttemptFault.REJECTED, false);
    fixture.copied(call, 1, CopyOutcome.NO_RUN, "");
    fixture.failUntilEnded(call, AttemptFault.REJECTED, false);

    assertRefusedAfterOneRun(call);
  }

  /** The call has no attempt in progress between the end of a stopped run and its final copy. */
  @ParameterizedTest
  @CsvSource({
    "REJECTED, 39000",
    "WRONG_TARGET, 39000",
    "LOST, 39000",
    "REJECTED, 1000",
    "WRONG_TARGET, 1000",
    "LOST, 1000"
  })
  void doesNotRefuseStoppedRunAsNotRunAtDeadlineOrStop(AttemptFault fault, long drainMs) {
    String call = fixture.generate(3_000, 2_000);
    fixture.markLeaving(call);
    fixture.copied(call, 180, CopyOutcome.COPIED, "h1");
    fixture.copied(call, 10, CopyOutcome.COPIED, "h1");
    fixture.failed(call, fault, false);
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + drainMs));
    fixture.tick(39_000);

    assertRefusedAfterOneRun(call);
  }

  @Test
  void countsMovedRunTowardsMaxTargetsOfResumableStream() {
    String call = moveRun("check");
    fixture.failed(call, AttemptFault.NOT_SENT, false);
    fixture.failed(call, AttemptFault.NOT_SENT, false);
    assertThat(fixture.newRuns(call)).hasSize(2);
    fixture.failed(call, AttemptFault.LOST, false);

    assertThat(fixture.newRuns(call)).hasSize(2);
  }

  /** A dying engine breaks its answer and the copy in progress, in either order. */
  @ParameterizedTest
  @EnumSource(CopyOutcome.class)
  void continuesRunOnceIfCopyEndsAfterItsSourceFailed(CopyOutcome outcome) {
    String call = fixture.generate(3_000, 2_000);
    fixture.markLeaving(call);
    fixture.copied(call, 600, CopyOutcome.COPIED, "h1");
    final int lostRound = fixture.lastCopy(call).round();
    fixture.failed(call, AttemptFault.LOST, false);
    String handle = outcome == CopyOutcome.COPIED ? "h1" : "";
    fixture.advance(5);
    fixture.apply(new DispatchEvent.RunCopied(fixture.nowMs(), call, lostRound, outcome, handle));
    fixture.tick(300);
    assertThat(fixture.sends(call)).hasSize(1);
    fixture.copied(call, 1, CopyOutcome.UNREACHABLE, "");
    fixture.tick(300);

    assertThat(fixture.sends(call)).hasSize(2);
    assertThat(fixture.copies(call)).hasSize(3);
    fixture.started(call);
    fixture.delivered(call);
    assertThat(fixture.all(DispatchEffect.ReleaseCopy.class)).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(CopyOutcome.class)
  void doesNotMoveNewRunByCopyOfRejectedOne(CopyOutcome outcome) {
    String call = fixture.generate(3_000, 2_000);
    fixture.markLeaving(call);
    fixture.failed(call, AttemptFault.REJECTED, false);
    fixture.copied(call, 180, outcome, outcome == CopyOutcome.COPIED ? "h1" : "");
    fixture.tick(300);
    assertThat(fixture.newRuns(call)).hasSize(2);
    assertThat(fixture.copies(call)).hasSize(1);

    RoutedTarget second = fixture.markLeaving(call);
    assertThat(fixture.lastCopy(call).sourceAddress()).isEqualTo(second.address());
  }

  @Test
  void doesNotTakeEndOfEarlierMigrationsCopyForItsOwn() {
    String call = fixture.generate(3_000, 2_000);
    fixture.markLeaving(call);
    fixture.copied(call, 600, CopyOutcome.COPIED, "h1");
    final int lostRound = fixture.lastCopy(call).round();
    fixture.failed(call, AttemptFault.LOST, false);
    fixture.copied(call, 1, CopyOutcome.UNREACHABLE, "");
    fixture.started(call);
    fixture.markLeaving(call);
    fixture.copied(call, 600, CopyOutcome.COPIED, "h2");
    assertThat(fixture.copies(call)).hasSize(5);

    fixture.apply(
        new DispatchEvent.RunCopied(fixture.nowMs(), call, lostRound, CopyOutcome.COPIED, "h1"));

    assertThat(fixture.copies(call)).hasSize(5);
  }

  /** The caller receives the first event in the 40 ms for which a stopped engine may answer. */
  @Test
  void cutsStreamThatReplacedAttemptHasStarted() {
    String call = moveRun("draft");
    fixture.apply(new DispatchEvent.AnswerStarted(fixture.nowMs(), call, 1));
    fixture.tick(40_000);

    assertThat(fixture.wasCut(call)).isTrue();
    assertThat(fixture.refusal(call)).isEmpty();
  }

  /** The run ends by itself just before it is stopped. */
  @Test
  void endsCallThatReplacedAttemptHasAnswered() {
    String call = moveRun("draft");
    fixture.apply(new DispatchEvent.AnswerDelivered(fixture.nowMs(), call, 1, 200, ""));
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 7_600));
    fixture.tick(3_600);

    assertThat(fixture.all(Effect.Stop.class)).hasSize(1);
  }

  /** Moves a run off its engine before its first event. */
  private String moveRun(String route) {
    String call = fixture.generate(route, 3_000, 2_000);
    fixture.markLeaving(call);
    fixture.copied(call, 180, CopyOutcome.COPIED, "h1");
    fixture.copied(call, 10, CopyOutcome.COPIED, "h1");
    fixture.copied(call, 9, CopyOutcome.COPIED, "h1");
    return call;
  }

  private void assertRefusedAfterOneRun(String call) {
    assertThat(fixture.newRuns(call)).hasSize(1);
    assertThat(fixture.refusal(call))
        .hasValueSatisfying(
            refusal -> assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
  }
}
