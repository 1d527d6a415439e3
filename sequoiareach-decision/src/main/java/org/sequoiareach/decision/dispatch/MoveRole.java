package org.sequoiareach.decision.dispatch;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedTarget;

/** Moves running generations off engines that leave. Not thread-safe. */
final class MoveRole {

  /** A run that is longer than was expected has at least this share of its time to come. */
  private static final double LEAST_REST = 0.25;

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final RunDurations durations;
  private final RunMover mover = new RunMover();

  MoveRole(DispatchContext context, ActiveCalls calls, RunDurations durations) {
    this.durations = durations;
    this.context = context;
    this.calls = calls;
    calls.onEnd(call -> mover.ended(call.callId()).ifPresent(context.log()::add));
  }

  void engineLeaves(long nowMs, RoutedTarget engine) {
    if (context.engineOf(engine.service()).filter(EngineTraits::canMoveRuns).isEmpty()) {
      return;
    }
    List<ActiveCall> runs =
        calls.at(engine.id()).stream()
            .filter(call -> call.route().kind() == RouteKind.STREAMING)
            .filter(call -> endsInTime(nowMs, call))
            .toList();
    if (runs.isEmpty()) {
      return;
    }
    context.note(
        "move-runs", "", "", engine.id(), "runs=" + runs.size() + " address=" + engine.address());
    mover.begin(nowMs, engine, runs, allCopiesMs(engine));
    advance(nowMs);
  }

  /**
   * Tells whether a run can end before this daemon does. Copies of others would take links and
   * memory that runs of daemons that stay need.
   */
  private boolean endsInTime(long nowMs, ActiveCall call) {
    Optional<GenerationDemand> demand = call.profile().generation();
    Optional<DrainAdmission> drain = context.drain();
    if (drain.isEmpty() || demand.isEmpty()) {
      return true;
    }
    long expectedMs = durations.estimateMs(demand.get());
    long leftMs = call.profile().arrivedMs() + expectedMs - nowMs;
    return Math.max(leftMs, Math.round(LEAST_REST * expectedMs)) <= drain.get().endMs() - nowMs;
  }

  /** Starts the copies that are due. */
  void advance(long nowMs) {
    context.log().addAll(mover.advance(nowMs, call -> context.candidates(call.service(), nowMs)));
  }

  /** Notes that an attempt has begun to answer, which ends the move that led to it. */
  void answerStarted(long nowMs, ActiveCall call, RoutedTarget target) {
    Optional<RunMove> move =
        mover.find(call.callId()).filter(m -> m.step() == RunMove.Step.CONTINUING);
    if (move.isEmpty()) {
      return;
    }
    calls.note("moved", call, target.id(), "after=" + (nowMs - move.get().noticedMs()) + "ms");
    mover.ended(call.callId());
    if (!context.targets().isPlaceable(target.id(), nowMs)) {
      mover.begin(nowMs, target, List.of(call), allCopiesMs(target));
    }
  }

  /**
   * Goes on with a run whose source has ended, from the copy that was made of it.
   *
   * @return whether the run is not lost
   */
  boolean survives(DispatchEvent.AttemptFailed event, ActiveCall call, RoutedTarget failedAt) {
    Optional<RunMove> found = mover.find(call.callId());
    if (found.isEmpty()) {
      return false;
    }
    RunMove move = found.get();
    if (move.step() == RunMove.Step.STOPPING) {
      // The source ends its answer as it stops the run; the last copy is still to come.
      return true;
    }
    if (move.held().isEmpty()) {
      return false;
    }
    RunMove.HeldCopy copy = move.held().get();
    if (move.step() != RunMove.Step.CONTINUING) {
      move.continuing(event.nowMs());
      continueAt(event.nowMs(), move, copy, copy.holder(), "the engine was lost");
      return true;
    }
    boolean tooLate = event.nowMs() - move.noticedMs() > RunMover.LATEST_STOP_MS;
    boolean wasAtSource = failedAt.id().equals(move.source().id());
    if (event.fault().mayHaveRun() || wasAtSource || tooLate) {
      return false;
    }
    continueAt(event.nowMs(), move, copy, move.source(), "the destination rejected the run");
    return true;
  }

  void runCopied(DispatchEvent.RunCopied event) {
    mover.find(event.callId()).ifPresent(move -> noteCopy(event, move));
    RunMover.Next next = mover.copied(event);
    next.copy().ifPresent(context.log()::add);
    next.ready()
        .ifPresent(
            move -> {
              RunMove.HeldCopy copy = move.held().orElseThrow();
              continueAt(event.nowMs(), move, copy, copy.holder(), "the last copy is made");
            });
    endLost(event);
  }

  /** Ends a call whose run has stopped for a copy that did not come about. */
  private void endLost(DispatchEvent.RunCopied event) {
    boolean moving = mover.find(event.callId()).isPresent();
    calls
        .find(event.callId())
        .filter(call -> !moving && call.target().isEmpty())
        .ifPresent(
            call ->
                calls.giveUp(
                    call, Reason.TARGET_FAILED, "the run was stopped and its copy failed"));
  }

  private void noteCopy(DispatchEvent.RunCopied event, RunMove move) {
    String destination = move.destination().map(RoutedTarget::id).orElse("");
    long tookMs = event.nowMs() - move.stepStartedMs();
    calls.note(
        "copy",
        move.call(),
        destination,
        move.step()
            + " round="
            + event.round()
            + " outcome="
            + event.outcome()
            + " took="
            + tookMs
            + "ms");
  }

  private void continueAt(
      long nowMs, RunMove move, RunMove.HeldCopy copy, RoutedTarget engine, String why) {
    Continuation from = new Continuation(move.source().address(), copy.handle());
    calls.send(
        nowMs, move.call(), engine, Optional.of(from), "handle=" + copy.handle() + " " + why);
  }

  private long allCopiesMs(RoutedTarget engine) {
    long tokens = context.ledger().useOf(engine.id()).memoryTokens();
    return context
        .engineOf(engine.service())
        .map(traits -> RunMover.copyMs(tokens, traits))
        .orElse(0L);
  }
}
