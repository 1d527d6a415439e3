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
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.route.RoutedTarget;

/** Tests the migration of generations off leaving engines. */
class RunMigratorTest {

  /** The prompt of a run and half of its maximum output, which it is expected to have. */
  private static final long RUN_MEMORY_TOKENS = 3_000 + 1_000;

  private final DispatchFixture fixture = DispatchFixture.ready();

  @Test
  void copiesThenStopsThenContinuesRun() {
    String call = startRun();
    final RoutedTarget source = markLeaving(call);
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
  void repeatsCopyWhileLinksAreBusy() {
    String call = startRun();
    markLeaving(call);
    copied(call, 700, CopyOutcome.COPIED, "h1");
    copied(call, 300, CopyOutcome.COPIED, "h1");
    copied(call, 20, CopyOutcome.COPIED, "h1");

    assertThat(fixture.copies(call))
        .extracting(DispatchEffect.CopyRun::stop)
        .containsExactly(false, false, false, true);
  }

  @Test
  void stopsRunBeforeDeadlineIfLinksStayBusy() {
    String call = startRun();
    markLeaving(call);
    copied(call, 700, CopyOutcome.COPIED, "h1");
    copied(call, 600, CopyOutcome.COPIED, "h1");

    assertThat(fixture.copies(call)).last().satisfies(copy -> assertThat(copy.stop()).isTrue());
  }

  @Test
  void ignoresEndOfAnswerFromStoppedSource() {
    String call = startRun();
    markLeaving(call);
    copied(call, 180, CopyOutcome.COPIED, "h1");
    copied(call, 10, CopyOutcome.COPIED, "h1");
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);
    copied(call, 9, CopyOutcome.COPIED, "h1");

    assertThat(fixture.wasCut(call)).isFalse();
    assertThat(fixture.sends(call)).hasSize(2);
  }

  /**
   * Guards against runs that go on at two engines because a lost answer was taken for their end.
   */
  @ParameterizedTest
  @EnumSource(
      value = CopyOutcome.class,
      names = {"COPIED", "NO_RUN", "UNREACHABLE"})
  void continuesRunOfLostAnswerOnceItsSourceNoLongerRunsIt(CopyOutcome confirmation) {
    String call = startRun();
    markLeaving(call);
    copied(call, 700, CopyOutcome.COPIED, "h1");
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);
    fixture.tick(300);

    assertThat(fixture.sends(call)).hasSize(1);
    assertThat(lastCopy(call).stop()).isTrue();

    copied(call, 100, confirmation, confirmation == CopyOutcome.COPIED ? "h1" : "");

    assertThat(fixture.wasCut(call)).isFalse();
    assertThat(fixture.lastSend(call).continuation()).isPresent();
  }

  /** The order to stop is refused, or its response is lost. */
  @ParameterizedTest
  @CsvSource({"BUSY, true", "BUSY, false", "NO_ROOM, true", "UNKNOWN, true", "UNKNOWN, false"})
  void repeatsOrderToStopUntilItIsConfirmed(CopyOutcome outcome, boolean answerLost) {
    String call = startRun();
    markLeaving(call);
    copied(call, 30, CopyOutcome.COPIED, "h1");
    assertThat(lastCopy(call).stop()).isTrue();
    if (answerLost) {
      fixture.failed(call, AttemptFault.LOST, true);
    }
    copied(call, 5, outcome, "");
    fixture.tick(100);

    assertThat(fixture.sends(call)).hasSize(1);
    assertThat(fixture.copies(call)).hasSize(3);
    boolean mayBeStopped = answerLost || outcome == CopyOutcome.UNKNOWN;
    assertThat(lastCopy(call).stop()).isEqualTo(mayBeStopped);

    copied(call, 90, CopyOutcome.COPIED, "h2");
    if (mayBeStopped) {
      assertContinues(call, lastCopy(call).destinationAddress(), "h2");
    }
  }

  @Test
  void cutsRunOfLostAnswerIfNothingConfirmsItsEnd() {
    String call = startRun();
    markLeaving(call);
    copied(call, 700, CopyOutcome.COPIED, "h1");
    fixture.failed(call, AttemptFault.LOST, true);
    copied(call, 1_500, CopyOutcome.UNKNOWN, "");
    fixture.tick(100);
    copied(call, 1_500, CopyOutcome.UNKNOWN, "");
    fixture.tick(50);

    assertThat(fixture.sends(call)).hasSize(1);
    assertThat(fixture.wasCut(call)).isTrue();
  }

  /** The engine fails while a later copy waits for its link. */
  @ParameterizedTest
  @EnumSource(
      value = CopyOutcome.class,
      names = {"NO_ROOM", "UNKNOWN"})
  void continuesFromEarlierCopyWhenLaterCopyFails(CopyOutcome outcome) {
    String call = startRun();
    markLeaving(call);
    final String holder = lastCopy(call).destinationAddress();
    copied(call, 600, CopyOutcome.COPIED, "h1");
    copied(call, 350, outcome, "");
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);
    copied(call, 1, CopyOutcome.UNREACHABLE, "");

    assertThat(fixture.wasCut(call)).isFalse();
    assertContinues(call, holder, "h1");
  }

  @Test
  void doesNotContinueRunThatEndedByItselfBeforeItWasStopped() {
    String call = startRun();
    markLeaving(call);
    copied(call, 30, CopyOutcome.COPIED, "h1");
    assertThat(lastCopy(call).stop()).isTrue();
    copied(call, 10, CopyOutcome.NO_RUN, "");

    assertThat(fixture.lastSend(call).continuation()).isEmpty();

    fixture.delivered(call, 200);
    assertThat(fixture.wasCut(call)).isFalse();
  }

  @Test
  void continuesFromEarlierCopyWhenSourceFailsAfterItNoLongerKnewRun() {
    String call = startRun();
    markLeaving(call);
    final String holder = lastCopy(call).destinationAddress();
    copied(call, 30, CopyOutcome.COPIED, "h1");
    copied(call, 10, CopyOutcome.NO_RUN, "");
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    assertContinues(call, holder, "h1");
  }

  @Test
  void keepsEarlierCopyUntilAnotherEngineHoldsOne() {
    String call = startRun();
    markLeaving(call);
    copied(call, 200, CopyOutcome.COPIED, "h1");
    copied(call, 5, CopyOutcome.NO_ROOM, "");
    fixture.tick(100);
    copied(call, 200, CopyOutcome.COPIED, "h2");
    final String holder = lastCopy(call).destinationAddress();
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);
    copied(call, 1, CopyOutcome.UNREACHABLE, "");

    assertContinues(call, holder, "h2");
  }

  /** Runs that end at the destinations meanwhile free memory. */
  @Test
  void retriesFailedDestinationsWhileSourceRuns() {
    String call = startRun();
    markLeaving(call);
    for (int i = 0; i < 5; i++) {
      copied(call, 5, CopyOutcome.NO_ROOM, "");
      fixture.tick(250);
    }
    copied(call, 200, CopyOutcome.COPIED, "h1");
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    assertThat(fixture.wasCut(call)).isFalse();
  }

  @Test
  void cutsRunThatFailsBeforeFirstCopy() {
    String call = startRun();
    markLeaving(call);
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    assertThat(fixture.wasCut(call)).isTrue();
  }

  @Test
  void returnsToSourceWhenDestinationRejectsRun() {
    String call = startRun();
    final RoutedTarget source = markLeaving(call);
    copied(call, 180, CopyOutcome.COPIED, "h1");
    copied(call, 10, CopyOutcome.COPIED, "h1");
    copied(call, 9, CopyOutcome.COPIED, "h1");
    fixture.failed(call, AttemptFault.REJECTED, true);

    assertThat(fixture.lastSend(call).target().id()).isEqualTo(source.id());
    assertThat(fixture.lastSend(call).continuation()).isPresent();
    fixture.failUntilEnded(call, AttemptFault.REJECTED, true);
    assertThat(fixture.newRuns(call)).hasSize(1);
    assertThat(fixture.wasCut(call)).isTrue();
  }

  @ParameterizedTest
  @EnumSource(
      value = CopyOutcome.class,
      names = {"NO_RUN", "BUSY", "NO_ROOM", "UNREACHABLE", "UNKNOWN"})
  void retriesFailedCopy(CopyOutcome outcome) {
    String call = startRun();
    markLeaving(call);
    copied(call, 5, outcome, "");
    fixture.tick(100);

    assertThat(fixture.copies(call)).hasSize(2);
  }

  /** During a store outage engines leave and their replacements are unknown. */
  @Test
  void migratesRunToEngineWithoutEnoughExpectedMemory() {
    String call = startRun();
    String last = call;
    while (fixture.refusal(last).isEmpty()) {
      last = fixture.generate(3_000, 2_000);
    }
    markLeaving(call);

    assertThat(fixture.copies(call)).hasSize(1);
  }

  @Test
  void copiesFewRunsOfEngineConcurrently() {
    List<String> calls = startRunsAtOneEngine(3);
    markLeaving(calls.get(0));

    assertThat(calls).allSatisfy(call -> assertThat(fixture.copies(call)).hasSize(1));
  }

  @Test
  void copiesManyRunsOfEngineSequentially() {
    List<String> calls = startRunsAtOneEngine(8);
    markLeaving(calls.get(0));

    assertThat(calls.stream().mapToInt(call -> fixture.copies(call).size()).sum()).isEqualTo(1);
  }

  @Test
  void migratesAgainWhenDestinationLeaves() {
    String call = startRun();
    markLeaving(call);
    copied(call, 180, CopyOutcome.COPIED, "h1");
    copied(call, 10, CopyOutcome.COPIED, "h1");
    copied(call, 9, CopyOutcome.COPIED, "h1");
    fixture.advance(15);
    fixture.started(call);
    RoutedTarget second = markLeaving(call);

    assertThat(fixture.copies(call))
        .last()
        .satisfies(copy -> assertThat(copy.sourceAddress()).isEqualTo(second.address()));
  }

  @Test
  void releasesCopyOfRunThatEndsDuringMigration() {
    String call = startRun();
    markLeaving(call);
    copied(call, 700, CopyOutcome.COPIED, "h1");
    fixture.delivered(call);

    assertThat(fixture.all(DispatchEffect.ReleaseCopy.class))
        .extracting(DispatchEffect.ReleaseCopy::handle)
        .containsExactly("h1");
  }

  @ParameterizedTest
  @CsvSource({"2000, 0", "200, 1"})
  void migratesOnlyRunsThatEndBeforeDaemonStops(long maxOutput, int copies) {
    String call = fixture.generate(3_000, maxOutput);
    fixture.started(call);
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 5_000));
    markLeaving(call);

    assertThat(fixture.copies(call)).hasSize(copies);
  }

  @Test
  void doesNotMigratePlainCalls() {
    String call = fixture.call("booking");
    markLeaving(call);

    assertThat(fixture.copies(call)).isEmpty();
  }

  /** A crowd of copies to one engine fills its memory, and the last ones find no room. */
  @Test
  void spreadsRunsOfEngineOverMemoryOfOthers() {
    List<String> runs = startRunsAtOneEngine(6);
    RoutedTarget source = fixture.lastSend(runs.get(0)).target();
    Map<String, Long> memory = new HashMap<>();
    fixture.all(DispatchEffect.SendCall.class).stream()
        .filter(send -> !send.target().id().equals(source.id()))
        .forEach(send -> memory.merge(send.target().address(), RUN_MEMORY_TOKENS, Long::sum));

    markLeaving(runs.get(0));
    for (int step = 0; step < 40; step++) {
      for (String run : runs) {
        if (!fixture.copies(run).isEmpty() && fixture.sends(run).size() == 1) {
          copied(run, 1, CopyOutcome.COPIED, "h-" + run);
        }
      }
      fixture.tick(50);
    }

    runs.forEach(
        run ->
            memory.merge(
                fixture.copies(run).get(0).destinationAddress(), RUN_MEMORY_TOKENS, Long::sum));
    assertThat(memory.values())
        .allSatisfy(
            used -> assertThat(used).isLessThanOrEqualTo(DispatchFixture.TRAITS.memoryTokens()));
  }

  @Test
  void tellsPeersOfMemoryThatCopiesWillOccupy() {
    fixture.apply(
        new PlatformEvent.VmsListed(
            fixture.nowMs(),
            fixture.nowMs(),
            List.of(
                new VmEntry("10.0.0.2:1", VmKind.DAEMON, "10.0.0.2:1", "z1", false, List.of()))));
    String run = startRun();
    markLeaving(run);

    fixture.tick(200);

    String destination = lastCopy(run).destinationAddress();
    String destinationId =
        DispatchFixture.targets().stream()
            .filter(target -> target.address().equals(destination))
            .findFirst()
            .orElseThrow()
            .id();
    List<DispatchEffect.TellPeer> told = fixture.all(DispatchEffect.TellPeer.class);
    assertThat(told.get(told.size() - 1).uses().get(destinationId).memoryTokens())
        .isEqualTo(RUN_MEMORY_TOKENS);

    fixture.apply(new DispatchEvent.CallerLeft(fixture.nowMs(), run));
    fixture.tick(200);
    told = fixture.all(DispatchEffect.TellPeer.class);
    assertThat(told.get(told.size() - 1).uses()).doesNotContainKey(destinationId);
  }

  private String startRun() {
    String call = fixture.generate(3_000, 2_000);
    fixture.started(call);
    return call;
  }

  /** Starts generations until one engine has the given number of them, and returns those. */
  private List<String> startRunsAtOneEngine(int count) {
    List<String> all = new ArrayList<>();
    while (true) {
      all.add(startRun());
      String engine = fixture.lastSend(all.get(0)).target().id();
      List<String> atEngine =
          all.stream().filter(c -> fixture.lastSend(c).target().id().equals(engine)).toList();
      if (atEngine.size() == count) {
        return atEngine;
      }
    }
  }

  private RoutedTarget markLeaving(String call) {
    return fixture.markLeaving(call);
  }

  private void assertContinues(String call, String holder, String handle) {
    assertThat(fixture.lastSend(call).target().address()).isEqualTo(holder);
    assertThat(fixture.lastSend(call).continuation())
        .hasValueSatisfying(from -> assertThat(from.handle()).isEqualTo(handle));
  }

  private DispatchEffect.CopyRun lastCopy(String call) {
    return fixture.lastCopy(call);
  }

  private void copied(String call, long tookMs, CopyOutcome outcome, String handle) {
    fixture.copied(call, tookMs, outcome, handle);
  }
}
