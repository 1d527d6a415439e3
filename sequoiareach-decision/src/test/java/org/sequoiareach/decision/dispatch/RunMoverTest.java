package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.route.RoutedTarget;

/** Plays notices of engines that leave while they run generations. */
class RunMoverTest {

  private final DispatchFixture fixture = DispatchFixture.ready();

  @Test
  void copiesThenStopsThenContinues() {
    String call = running();
    final RoutedTarget source = leave(call);
    copied(call, 180, CopyOutcome.COPIED, "h1");
    copied(call, 10, CopyOutcome.COPIED, "h1");
    copied(call, 9, CopyOutcome.COPIED, "h1");

    assertThat(fixture.copies(call))
        .extracting(DispatchEffect.CopyRun::stop)
        .containsExactly(false, false, true);
    DispatchEffect.SendCall continued = fixture.lastSend(call);
    assertThat(continued.continuation()).contains(new Continuation(source.address(), "h1"));
    assertThat(continued.target().id()).isNotEqualTo(source.id());
  }

  @Test
  void copiesAgainWhileTheLinksAreBusy() {
    String call = running();
    leave(call);
    copied(call, 700, CopyOutcome.COPIED, "h1");
    copied(call, 300, CopyOutcome.COPIED, "h1");
    copied(call, 20, CopyOutcome.COPIED, "h1");

    assertThat(fixture.copies(call))
        .extracting(DispatchEffect.CopyRun::stop)
        .containsExactly(false, false, false, true);
  }

  @Test
  void stopsRunInTimeEvenIfTheLinksStayBusy() {
    String call = running();
    leave(call);
    copied(call, 700, CopyOutcome.COPIED, "h1");
    copied(call, 600, CopyOutcome.COPIED, "h1");

    assertThat(fixture.copies(call)).last().satisfies(copy -> assertThat(copy.stop()).isTrue());
  }

  @Test
  void ignoresTheEndOfTheStoppedSource() {
    String call = running();
    leave(call);
    copied(call, 180, CopyOutcome.COPIED, "h1");
    copied(call, 10, CopyOutcome.COPIED, "h1");
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);
    copied(call, 9, CopyOutcome.COPIED, "h1");

    assertThat(fixture.wasCut(call)).isFalse();
    assertThat(fixture.sends(call)).hasSize(2);
  }

  @Test
  void continuesFromTheCopyWhenTheSourceIsLost() {
    String call = running();
    leave(call);
    copied(call, 700, CopyOutcome.COPIED, "h1");
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    assertThat(fixture.wasCut(call)).isFalse();
    assertThat(fixture.lastSend(call).continuation()).isPresent();
  }

  /** The engine dies while a later copy waits for its link. */
  @ParameterizedTest
  @EnumSource(
      value = CopyOutcome.class,
      names = {"NO_ROOM", "UNKNOWN"})
  void continuesFromTheEarlierCopyWhenLaterOneFails(CopyOutcome outcome) {
    String call = running();
    leave(call);
    final String holder = lastCopy(call).destinationAddress();
    copied(call, 600, CopyOutcome.COPIED, "h1");
    copied(call, 350, outcome, "");
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    assertThat(fixture.wasCut(call)).isFalse();
    assertContinues(call, holder, "h1");
  }

  @Test
  void keepsTheEarlierCopyUntilAnotherEngineHoldsOne() {
    String call = running();
    leave(call);
    copied(call, 200, CopyOutcome.COPIED, "h1");
    copied(call, 5, CopyOutcome.NO_ROOM, "");
    fixture.tick(100);
    copied(call, 200, CopyOutcome.COPIED, "h2");
    final String holder = lastCopy(call).destinationAddress();
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    assertContinues(call, holder, "h2");
  }

  /** Runs end meanwhile, and make room. */
  @Test
  void triesAllEnginesAnewWhileTheSourceStillRuns() {
    String call = running();
    leave(call);
    for (int i = 0; i < 5; i++) {
      copied(call, 5, CopyOutcome.NO_ROOM, "");
      fixture.tick(250);
    }
    copied(call, 200, CopyOutcome.COPIED, "h1");
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    assertThat(fixture.wasCut(call)).isFalse();
  }

  @Test
  void cutsRunThatIsLostBeforeItsFirstCopy() {
    String call = running();
    leave(call);
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    assertThat(fixture.wasCut(call)).isTrue();
  }

  @Test
  void returnsToTheStoppedSourceWhenTheDestinationRejects() {
    String call = running();
    final RoutedTarget source = leave(call);
    copied(call, 180, CopyOutcome.COPIED, "h1");
    copied(call, 10, CopyOutcome.COPIED, "h1");
    copied(call, 9, CopyOutcome.COPIED, "h1");
    fixture.failed(call, AttemptFault.REJECTED, true);

    assertThat(fixture.lastSend(call).target().id()).isEqualTo(source.id());
    assertThat(fixture.lastSend(call).continuation()).isPresent();
    fixture.failed(call, AttemptFault.REJECTED, true);
    assertThat(fixture.wasCut(call)).isTrue();
  }

  @ParameterizedTest
  @EnumSource(
      value = CopyOutcome.class,
      names = {"NO_RUN", "BUSY", "NO_ROOM", "UNKNOWN"})
  void triesAgainAfterCopyThatFailed(CopyOutcome outcome) {
    String call = running();
    leave(call);
    copied(call, 5, outcome, "");
    fixture.tick(100);

    assertThat(fixture.copies(call)).hasSize(2);
  }

  /** While the store is away, engines leave and their replacements are not known. */
  @Test
  void movesRunsEvenToEnginesThatAreExpectedToFill() {
    String call = running();
    String last = call;
    while (fixture.refusal(last).isEmpty()) {
      last = fixture.generate(3_000, 2_000);
    }
    leave(call);

    assertThat(fixture.copies(call)).hasSize(1);
  }

  @Test
  void copiesFewRunsOfOneEngineAtOnce() {
    List<String> calls = runningAtOneEngine(3);
    leave(calls.get(0));

    assertThat(calls).allSatisfy(call -> assertThat(fixture.copies(call)).hasSize(1));
  }

  @Test
  void copiesManyRunsOfOneEngineInTurn() {
    List<String> calls = runningAtOneEngine(8);
    leave(calls.get(0));

    assertThat(calls.stream().mapToInt(call -> fixture.copies(call).size()).sum()).isEqualTo(1);
  }

  @Test
  void movesOnWhenTheDestinationLeavesToo() {
    String call = running();
    leave(call);
    copied(call, 180, CopyOutcome.COPIED, "h1");
    copied(call, 10, CopyOutcome.COPIED, "h1");
    copied(call, 9, CopyOutcome.COPIED, "h1");
    fixture.advance(15);
    fixture.started(call);
    RoutedTarget second = leave(call);

    assertThat(fixture.copies(call))
        .last()
        .satisfies(copy -> assertThat(copy.sourceAddress()).isEqualTo(second.address()));
  }

  @Test
  void releasesCopyOfRunThatEndsMeanwhile() {
    String call = running();
    leave(call);
    copied(call, 700, CopyOutcome.COPIED, "h1");
    fixture.delivered(call);

    assertThat(fixture.all(DispatchEffect.ReleaseCopy.class))
        .extracting(DispatchEffect.ReleaseCopy::handle)
        .containsExactly("h1");
  }

  @ParameterizedTest
  @CsvSource({"2000, 0", "200, 1"})
  void movesNoRunThatOutlivesItsDaemon(long maxOutput, int copies) {
    String call = fixture.generate(3_000, maxOutput);
    fixture.started(call);
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 5_000));
    leave(call);

    assertThat(fixture.copies(call)).hasSize(copies);
  }

  @Test
  void leavesPlainCallsWhereTheyAre() {
    String call = fixture.call("booking");
    leave(call);

    assertThat(fixture.copies(call)).isEmpty();
  }

  private String running() {
    String call = fixture.generate(3_000, 2_000);
    fixture.started(call);
    return call;
  }

  /** Starts generations until one engine has so many; returns those. */
  private List<String> runningAtOneEngine(int count) {
    List<String> all = new ArrayList<>();
    while (true) {
      all.add(running());
      String engine = fixture.lastSend(all.get(0)).target().id();
      List<String> there =
          all.stream().filter(c -> fixture.lastSend(c).target().id().equals(engine)).toList();
      if (there.size() == count) {
        return there;
      }
    }
  }

  /** Lets the engine of a call leave. */
  private RoutedTarget leave(String call) {
    RoutedTarget target = fixture.lastSend(call).target();
    fixture.apply(new DispatchEvent.TargetChanged(fixture.nowMs(), 11, target.asLeaving()));
    return target;
  }

  private void assertContinues(String call, String holder, String handle) {
    assertThat(fixture.lastSend(call).target().address()).isEqualTo(holder);
    assertThat(fixture.lastSend(call).continuation())
        .hasValueSatisfying(from -> assertThat(from.handle()).isEqualTo(handle));
  }

  private DispatchEffect.CopyRun lastCopy(String call) {
    List<DispatchEffect.CopyRun> copies = fixture.copies(call);
    return copies.get(copies.size() - 1);
  }

  private void copied(String call, long tookMs, CopyOutcome outcome, String handle) {
    fixture.advance(tookMs);
    fixture.apply(
        new DispatchEvent.RunCopied(
            fixture.nowMs(), call, lastCopy(call).round(), outcome, handle));
  }
}
