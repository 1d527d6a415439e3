package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.Route;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Simulates the targets of a {@link DispatchFixture}. Knows where each call really runs, and checks
 * every effect against that.
 *
 * <p>A target rejects only what it has not begun to run; apart from that it may lose answers, begin
 * to run a request whose connection is lost, answer late, and fail any copy.
 */
final class SimulatedTargets {

  private static final AttemptFault[] FAULTS_BEFORE_RUN = {
    AttemptFault.NOT_SENT,
    AttemptFault.NOBODY_THERE,
    AttemptFault.REJECTED,
    AttemptFault.WRONG_TARGET,
    AttemptFault.OUTDATED,
    AttemptFault.LOST
  };

  private enum State {
    /** The target has received the request, or still may. */
    PENDING,
    /** The target will never run this attempt. */
    NEVER_RUNS,
    RUNNING,
    /** The target has stopped the run on order and keeps its memory. */
    STOPPED,
    /** The run ended with its answer or its target. */
    ENDED
  }

  private static final class Attempt {
    private final DispatchEffect.SendCall send;
    private State state = State.PENDING;
    private boolean answering;
    private boolean reported;

    private Attempt(DispatchEffect.SendCall send) {
      this.send = send;
    }

    private boolean mayRun() {
      return state != State.NEVER_RUNS;
    }
  }

  private static final class CallState {
    private final List<Attempt> attempts = new ArrayList<>();
    private boolean headSent;
    private boolean ended;
  }

  private final DispatchFixture fixture;
  private final SplittableRandom random;
  private final Map<String, CallState> calls = new LinkedHashMap<>();
  private final List<DispatchEffect.CopyRun> copies = new ArrayList<>();
  private final StoppedRunOracle stoppedRuns = new StoppedRunOracle();
  private int checked;

  SimulatedTargets(DispatchFixture fixture, SplittableRandom random) {
    this.fixture = fixture;
    this.random = random;
  }

  /** Begins to run a request, including one whose connection is already lost. */
  void begin() {
    pick(attempt -> attempt.state == State.PENDING && !callOf(attempt).ended)
        .ifPresent(attempt -> attempt.state = State.RUNNING);
  }

  /** Sends the first part of an answer. */
  void answer() {
    pick(attempt -> attempt.state == State.RUNNING && isOpen(attempt) && !attempt.answering)
        .ifPresent(
            attempt -> {
              attempt.answering = true;
              callOf(attempt).headSent = true;
              fixture.apply(
                  new DispatchEvent.AnswerStarted(
                      fixture.nowMs(), attempt.send.callId(), attempt.send.attempt()));
            });
  }

  /** Completes an answer; the caller has it before the reducer learns of it. */
  void complete() {
    pick(attempt -> attempt.state == State.RUNNING && isOpen(attempt))
        .ifPresent(
            attempt -> {
              attempt.reported = true;
              callOf(attempt).ended = true;
              fixture.apply(
                  new DispatchEvent.AnswerDelivered(
                      fixture.nowMs(), attempt.send.callId(), attempt.send.attempt(), 200, ""));
            });
  }

  /** Fails an attempt, in progress or replaced, in a way that its target's state allows. */
  void fail() {
    pick(this::isOpen)
        .ifPresent(
            attempt -> {
              AttemptFault fault = drawFault(attempt);
              if (!fault.mayHaveRun()) {
                attempt.state = State.NEVER_RUNS;
              } else if (attempt.state == State.RUNNING && random.nextBoolean()) {
                attempt.state = State.ENDED;
              }
              attempt.reported = true;
              stoppedRuns.onFailed(attempt.send, fault);
              fixture.apply(
                  new DispatchEvent.AttemptFailed(
                      fixture.nowMs(),
                      attempt.send.callId(),
                      attempt.send.attempt(),
                      fault,
                      0,
                      callOf(attempt).headSent,
                      false,
                      "simulated"));
            });
  }

  private AttemptFault drawFault(Attempt attempt) {
    if (attempt.state == State.PENDING) {
      return FAULTS_BEFORE_RUN[random.nextInt(FAULTS_BEFORE_RUN.length)];
    }
    if (attempt.answering) {
      return AttemptFault.BROKEN_ANSWER;
    }
    boolean held = attempt.send.kind().isRepeatable() && random.nextBoolean();
    return held ? AttemptFault.SERVER_ERROR : AttemptFault.LOST;
  }

  /** Ends one of the copies in progress. */
  void endCopy() {
    if (copies.isEmpty()) {
      return;
    }
    DispatchEffect.CopyRun copy = copies.remove(random.nextInt(copies.size()));
    List<Attempt> runs =
        calls.get(copy.callId()).attempts.stream()
            .filter(attempt -> attempt.send.target().address().equals(copy.sourceAddress()))
            .filter(attempt -> attempt.state == State.RUNNING || attempt.state == State.STOPPED)
            .toList();
    CopyOutcome outcome = drawOutcome(!runs.isEmpty());
    boolean ignored =
        outcome == CopyOutcome.BUSY
            || outcome == CopyOutcome.UNKNOWN && random.nextBoolean()
            || outcome == CopyOutcome.NO_ROOM && random.nextBoolean();
    if (copy.stop() && !ignored) {
      runs.forEach(attempt -> attempt.state = State.STOPPED);
    }
    if (copy.stop() && outcome == CopyOutcome.COPIED && isCurrentRun(copy)) {
      stoppedRuns.onStopped(fixture.nowMs(), copy);
    }
    boolean hasHandle =
        outcome == CopyOutcome.COPIED || outcome == CopyOutcome.NO_ROOM && copy.stop() && !ignored;
    fixture.apply(
        new DispatchEvent.RunCopied(
            fixture.nowMs(), copy.callId(), copy.round(), outcome, hasHandle ? "h" : ""));
  }

  /** Returns whether the run that was copied is the one that the caller is being answered from. */
  private boolean isCurrentRun(DispatchEffect.CopyRun copy) {
    CallState call = calls.get(copy.callId());
    Attempt latest = call.attempts.get(call.attempts.size() - 1);
    return !call.ended && latest.send.target().address().equals(copy.sourceAddress());
  }

  private CopyOutcome drawOutcome(boolean runExists) {
    if (!runExists) {
      CopyOutcome[] absent = {CopyOutcome.NO_RUN, CopyOutcome.UNREACHABLE, CopyOutcome.UNKNOWN};
      return absent[random.nextInt(absent.length)];
    }
    if (random.nextBoolean()) {
      return CopyOutcome.COPIED;
    }
    CopyOutcome[] failures = {CopyOutcome.BUSY, CopyOutcome.NO_ROOM, CopyOutcome.UNKNOWN};
    return failures[random.nextInt(failures.length)];
  }

  /** Records that a target is leaving, or that its next incarnation replaces it. */
  void onTargetChanged(RoutedTarget target) {
    stoppedRuns.onUnsound(target.address());
  }

  /** Closes the connection of a caller. */
  void leaveCaller() {
    pick(this::isOpen)
        .ifPresent(
            attempt -> {
              callOf(attempt).ended = true;
              fixture.apply(new DispatchEvent.CallerLeft(fixture.nowMs(), attempt.send.callId()));
            });
  }

  /** Checks the effects since the last check. */
  void check() {
    List<Effect> effects = fixture.all(Effect.class);
    for (Effect effect : effects.subList(checked, effects.size())) {
      if (effect instanceof DispatchEffect.SendCall send) {
        checkSend(send);
      } else if (effect instanceof DispatchEffect.CopyRun copy) {
        copies.add(copy);
      } else if (effect instanceof DispatchEffect.RefuseCall refusal) {
        stoppedRuns.checkEnd(fixture.nowMs(), refusal.callId(), refusal.reason());
        checkRefusal(refusal);
      } else if (effect instanceof DispatchEffect.CutCall cut) {
        stoppedRuns.checkEnd(fixture.nowMs(), cut.callId(), cut.reason());
        end(cut.callId());
      } else if (effect instanceof DispatchEffect.DeliverHeldAnswer answer) {
        end(answer.callId());
      }
    }
    checked = effects.size();
  }

  /** Checks that every call has ended. */
  void checkAllEnded() {
    assertThat(calls.values()).as("calls that never end").allMatch(call -> call.ended);
  }

  private void checkSend(DispatchEffect.SendCall send) {
    CallState call = calls.computeIfAbsent(send.callId(), id -> new CallState());
    assertThat(call.ended).as("%s is sent after its end", send.callId()).isFalse();
    if (send.continuation().isPresent()) {
      checkContinuation(send, call);
    } else {
      checkNewRun(send, call);
      stoppedRuns.onTaken(send.callId());
    }
    call.attempts.add(new Attempt(send));
  }

  private void checkNewRun(DispatchEffect.SendCall send, CallState call) {
    Set<String> targets = new HashSet<>();
    call.attempts.stream()
        .filter(Attempt::mayRun)
        .forEach(attempt -> targets.add(attempt.send.target().id()));
    int maxTargets = send.kind().isRepeatable() ? maxTargetsOf(send.kind()) : 1;
    assertThat(targets)
        .as("targets that may run %s before it is run anew", send.callId())
        .hasSizeLessThan(maxTargets);
  }

  private static void checkContinuation(DispatchEffect.SendCall send, CallState call) {
    Attempt replaced = call.attempts.get(call.attempts.size() - 1);
    if (!replaced.reported) {
      assertThat(replaced.send.target().address())
          .as("address of the attempt at %s that its continuation replaces", send.callId())
          .isEqualTo(send.continuation().get().holderAddress());
    }
    String sourceAddress = send.continuation().get().holderAddress();
    if (!send.target().address().equals(sourceAddress)) {
      assertThat(call.attempts)
          .as("runs of %s at %s while another engine goes on", send.callId(), sourceAddress)
          .filteredOn(attempt -> attempt.send.target().address().equals(sourceAddress))
          .noneMatch(attempt -> attempt.state == State.RUNNING);
    }
  }

  private static int maxTargetsOf(RouteKind kind) {
    return DispatchFixture.sheet(1, "k1").routes().stream()
        .filter(route -> route.kind() == kind)
        .mapToInt(Route::maxTargets)
        .findFirst()
        .orElseThrow();
  }

  private void checkRefusal(DispatchEffect.RefuseCall refusal) {
    CallState call = calls.computeIfAbsent(refusal.callId(), id -> new CallState());
    assertThat(call.headSent).as("%s is refused after its head", refusal.callId()).isFalse();
    if (refusal.verdict() == Verdict.NOT_RUN) {
      assertThat(call.attempts)
          .as("attempts at %s that may run", refusal.callId())
          .noneMatch(Attempt::mayRun);
    }
    end(refusal.callId());
  }

  private void end(String callId) {
    CallState call = calls.get(callId);
    assertThat(call.ended).as("%s ends twice", callId).isFalse();
    call.ended = true;
  }

  private boolean isOpen(Attempt attempt) {
    return !attempt.reported && !callOf(attempt).ended;
  }

  private CallState callOf(Attempt attempt) {
    return calls.get(attempt.send.callId());
  }

  private Optional<Attempt> pick(Predicate<Attempt> condition) {
    List<Attempt> matching =
        calls.values().stream().flatMap(call -> call.attempts.stream()).filter(condition).toList();
    return matching.isEmpty()
        ? Optional.empty()
        : Optional.of(matching.get(random.nextInt(matching.size())));
  }
}
