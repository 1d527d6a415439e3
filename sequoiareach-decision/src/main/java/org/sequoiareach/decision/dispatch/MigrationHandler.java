package org.sequoiareach.decision.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Migrates running generations off leaving engines and continues them at their destination. The
 * {@link RunMigrator} decides which copies are made and when. Not thread-safe.
 */
final class MigrationHandler {

  /**
   * The minimum share of its estimated duration that a run is assumed to have left, even if it has
   * exceeded the estimate.
   */
  private static final double MIN_REMAINING_SHARE = 0.25;

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final RunDurationRegistry durations;
  private final LimitHandler limits;
  private final RunMigrator migrator = new RunMigrator();
  private final Map<String, String> reservedAt = new HashMap<>();

  MigrationHandler(
      DispatchContext context,
      ActiveCalls calls,
      RunDurationRegistry durations,
      LimitHandler limits) {
    this.limits = limits;
    this.durations = durations;
    this.context = context;
    this.calls = calls;
    calls.setEndListener(call -> endMigration(call.callId()));
  }

  void onEngineLeaving(long nowMs, RoutedTarget engine) {
    if (context.engineTraits(engine.service()).filter(EngineTraits::canMoveRuns).isEmpty()) {
      return;
    }
    List<ActiveCall> runs =
        calls.assignedTo(engine.id()).stream()
            .filter(call -> call.route().kind().isStreaming())
            .filter(call -> canFinishBeforeShutdown(nowMs, call))
            .toList();
    if (runs.isEmpty()) {
      return;
    }
    context.logDecision(
        "move-runs", "", "", engine.id(), "runs=" + runs.size() + " address=" + engine.address());
    migrator.start(nowMs, engine, runs, copyAllMs(engine));
    startDueCopies(nowMs);
  }

  /**
   * Returns whether a run is expected to end before this daemon stops. Copying any other run would
   * occupy links and memory that the runs of the remaining daemons need.
   */
  private boolean canFinishBeforeShutdown(long nowMs, ActiveCall call) {
    Optional<GenerationDemand> demand = call.profile().generation();
    Optional<DrainAdmission> drain = context.drain();
    if (drain.isEmpty() || demand.isEmpty()) {
      return true;
    }
    long expectedMs = durations.getEstimator(call.service()).estimateMs(demand.get());
    long remainingMs = call.profile().arrivedMs() + expectedMs - nowMs;
    return Math.max(remainingMs, Math.round(MIN_REMAINING_SHARE * expectedMs))
        <= drain.get().endMs() - nowMs;
  }

  /** Starts the copies that are due. */
  void startDueCopies(long nowMs) {
    abortOverdue(nowMs);
    continueStoppedRuns(nowMs);
    releaseReservations();
    migrator.startDueCopies(
        nowMs,
        call -> findDestinations(nowMs, call),
        copy -> {
          reserveDestination(copy.callId());
          context.effects().add(copy);
        });
  }

  private void abortOverdue(long nowMs) {
    for (RunMigration migration : migrator.findOverdue(nowMs)) {
      abortUnassigned(
          migration.call().callId(),
          "engine "
              + migration.source().id()
              + " lost the answer and did not confirm that the run has ended");
    }
  }

  /** Offers stopped runs to their engines again, and ends the calls that none takes in time. */
  private void continueStoppedRuns(long nowMs) {
    for (RunMigration migration : migrator.findDueContinuations(nowMs)) {
      if (nowMs < migration.call().deadlineMs()
          && !continueStoppedRun(nowMs, migration, "an engine may take the stopped run now")) {
        endMigration(migration.call().callId());
        abortUnassigned(
            migration.call().callId(), "the run was stopped and no engine continued it in time");
      }
    }
  }

  /** Aborts a call that has no attempt in progress, because its run is lost. */
  private void abortUnassigned(String callId, String why) {
    calls
        .find(callId)
        .filter(call -> call.target().isEmpty())
        .ifPresent(call -> calls.abort(call, Reason.TARGET_FAILED, why));
  }

  /** Returns the engines that can receive a run: those without a rate limit if there are any. */
  private List<Candidate> findDestinations(long nowMs, ActiveCall call) {
    List<Candidate> all = context.candidates(call.service(), nowMs);
    List<Candidate> unlimited =
        all.stream()
            .filter(engine -> !call.isAssignedTo(engine.target().id()))
            .filter(engine -> !limits.isLimited(nowMs, engine.target()))
            .toList();
    return unlimited.isEmpty() ? all : unlimited;
  }

  /**
   * Counts a copy as use of its destination, so that neither this daemon nor another one, which is
   * told of the use, plans more runs there than its memory and slots hold.
   */
  private void reserveDestination(String callId) {
    RunMigration migration = migrator.find(callId).orElseThrow();
    String destinationId = migration.destination().orElseThrow().id();
    releaseReservation(callId);
    reservedAt.put(callId, destinationId);
    context
        .targetUse()
        .add(reservationOf(callId), destinationId, 0, migration.call().expectedMemoryTokens());
  }

  /** Releases the reservations of runs that have ended, continue, or have no copy to go to. */
  private void releaseReservations() {
    for (String callId : List.copyOf(reservedAt.keySet())) {
      boolean planned = migrator.find(callId).filter(RunMigration::occupiesDestination).isPresent();
      if (!planned) {
        releaseReservation(callId);
      }
    }
  }

  private void releaseReservation(String callId) {
    String targetId = reservedAt.remove(callId);
    if (targetId != null) {
      context.targetUse().remove(reservationOf(callId), targetId);
    }
  }

  private static String reservationOf(String callId) {
    return "copy of " + callId;
  }

  /**
   * Ends the migration that led to an attempt whose answer has started, and begins another one if
   * the destination is leaving as well.
   */
  void onAnswerStarted(long nowMs, ActiveCall call, RoutedTarget target) {
    Optional<RunMigration> migration =
        migrator.find(call.callId()).filter(m -> m.step() == RunMigration.Step.CONTINUING);
    if (migration.isEmpty()) {
      return;
    }
    calls.logDecision(
        "moved", call, target.id(), "after=" + (nowMs - migration.get().noticedAtMs()) + "ms");
    migrator.remove(call.callId());
    if (!context.targets().isAvailable(target.id(), nowMs)) {
      migrator.start(nowMs, target, List.of(call), copyAllMs(target));
    }
  }

  /**
   * Tries to continue a run after a failed attempt from the latest copy of its memory. A lost
   * answer does not show that the run has ended, so its engine is ordered to stop it first. Ends
   * the migration otherwise: a new run of the call must not be replaced by copies of the old one.
   *
   * @param canRunAnew whether the call can run from its beginning in place of waiting for an engine
   * @return true if the run continues or waits for its final copy, false if it is lost
   */
  boolean tryContinue(
      DispatchEvent.AttemptFailed event,
      ActiveCall call,
      RoutedTarget failedAt,
      BooleanSupplier canRunAnew) {
    boolean continues =
        migrator
            .find(call.callId())
            .filter(migration -> tryContinue(event, migration, failedAt, canRunAnew))
            .isPresent();
    if (!continues) {
      endMigration(call.callId());
    }
    return continues;
  }

  private boolean tryContinue(
      DispatchEvent.AttemptFailed event,
      RunMigration migration,
      RoutedTarget failedAt,
      BooleanSupplier canRunAnew) {
    if (migration.step() == RunMigration.Step.STOPPING) {
      // The source ends its answer when it stops the run; the final copy is still to come.
      migrator.onAnswerLost(event.nowMs(), migration);
      return true;
    }
    if (migration.latestCopy().isEmpty()) {
      return false;
    }
    if (migration.step() == RunMigration.Step.STOPPED) {
      // Only the answer of the stopped source has ended.
      return true;
    }
    boolean atSource = migration.step() != RunMigration.Step.CONTINUING;
    if (atSource && !migration.hasRunEnded()) {
      calls.logDecision(
          "stop-lost-run", migration.call(), migration.source().id(), "after " + event.fault());
      context.effects().add(migrator.stopLostRun(event.nowMs(), migration));
      reserveDestination(event.callId());
      return true;
    }
    if (atSource) {
      migrator.endCopies(event.nowMs(), migration);
      return continueStoppedRun(event.nowMs(), migration, "the source engine has no such run");
    }
    if (event.fault().mayHaveRun()) {
      return false;
    }
    boolean reached = event.fault() == AttemptFault.REJECTED;
    migration.failContinuation(event.nowMs(), failedAt.id(), isGone(event.fault()), reached);
    return continueElsewhere(event.nowMs(), migration, failedAt, canRunAnew);
  }

  private static boolean isGone(AttemptFault fault) {
    return fault == AttemptFault.NOBODY_THERE || fault == AttemptFault.WRONG_TARGET;
  }

  /**
   * Continues a run that an engine did not take at its other engine, or waits until one takes it.
   */
  private boolean continueElsewhere(
      long nowMs, RunMigration migration, RoutedTarget failedAt, BooleanSupplier canRunAnew) {
    List<RoutedTarget> engines = findContinuationEngines(nowMs, migration);
    if (engines.isEmpty() || !migration.mayContinue(nowMs)) {
      return false;
    }
    boolean other = engines.stream().anyMatch(engine -> !engine.id().equals(failedAt.id()));
    if (migration.failedContinuations() == 1 && other) {
      return continueStoppedRun(nowMs, migration, "the destination rejected the run");
    }
    if (canRunAnew.getAsBoolean()) {
      return false;
    }
    RunMigrator.delayContinuation(nowMs, migration);
    return true;
  }

  private List<RoutedTarget> findContinuationEngines(long nowMs, RunMigration migration) {
    return RunMigrator.findContinuationEngines(
        nowMs, migration, engine -> !context.mayReceive(nowMs, engine.id()));
  }

  /**
   * Continues a stopped run at the first of its engines that can take it, or waits for one.
   *
   * @return false if none is left or its time is over
   */
  private boolean continueStoppedRun(long nowMs, RunMigration migration, String why) {
    List<RoutedTarget> engines = findContinuationEngines(nowMs, migration);
    if (engines.isEmpty() || !migration.mayContinue(nowMs)) {
      return false;
    }
    Optional<RoutedTarget> taker =
        engines.stream().filter(engine -> acquireContinuation(nowMs, engine)).findFirst();
    if (taker.isEmpty()) {
      RunMigrator.delayContinuation(nowMs, migration);
      return true;
    }
    migration.startContinuation(nowMs);
    continueAt(nowMs, migration, migration.latestCopy().orElseThrow(), taker.get(), why);
    return true;
  }

  void onRunCopied(DispatchEvent.RunCopied event) {
    migrator.find(event.callId()).ifPresent(migration -> logCopy(event, migration));
    RunMigrator.CopyFollowUp next =
        migrator.onCopyEnded(
            event,
            engine -> !context.mayReceive(event.nowMs(), engine.id()),
            call -> findDestinations(event.nowMs(), call));
    releaseReservations();
    next.copy().ifPresent(context.effects()::add);
    next.ready()
        .ifPresent(
            migration -> {
              if (!continueStoppedRun(event.nowMs(), migration, "the final copy is complete")) {
                endMigration(event.callId());
              }
            });
    abortLostCall(event);
  }

  /** Aborts a call whose run was stopped for a final copy that failed. */
  private void abortLostCall(DispatchEvent.RunCopied event) {
    if (migrator.find(event.callId()).isEmpty()) {
      abortUnassigned(event.callId(), "the run was stopped but its final copy failed");
    }
  }

  private void endMigration(String callId) {
    migrator.remove(callId).ifPresent(context.effects()::add);
  }

  private void logCopy(DispatchEvent.RunCopied event, RunMigration migration) {
    String destination = migration.destination().map(RoutedTarget::id).orElse("");
    long tookMs = event.nowMs() - migration.stepStartedMs();
    calls.logDecision(
        "copy",
        migration.call(),
        destination,
        migration.step()
            + " round="
            + event.round()
            + " outcome="
            + event.outcome()
            + " took="
            + tookMs
            + "ms");
  }

  /** Acquires the permission to continue a run at an engine, which may be in backoff. */
  private boolean acquireContinuation(long nowMs, RoutedTarget engine) {
    return context.backoffs().tryAcquire(nowMs, engine.id());
  }

  private void continueAt(
      long nowMs,
      RunMigration migration,
      RunMigration.CompletedCopy copy,
      RoutedTarget engine,
      String why) {
    limits.spend(nowMs, engine);
    Continuation from = new Continuation(migration.source().address(), copy.handle());
    calls.send(
        nowMs, migration.call(), engine, Optional.of(from), "handle=" + copy.handle() + " " + why);
  }

  private long copyAllMs(RoutedTarget engine) {
    long tokens = context.targetUse().useOf(engine.id()).memoryTokens();
    return context
        .engineTraits(engine.service())
        .map(traits -> RunMigrator.estimateCopyMs(tokens, traits))
        .orElse(0L);
  }
}
