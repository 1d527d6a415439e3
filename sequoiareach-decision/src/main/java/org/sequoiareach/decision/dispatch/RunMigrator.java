package org.sequoiareach.decision.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Schedules the live migration of running generations off leaving engines.
 *
 * <p>Engines are reclaimed at short notice while they run generations that must not be restarted.
 * As in pre-copy migration, the memory of a run is copied while it continues, repeatedly until a
 * copy is short; then the run is stopped, copied a final time and continued at the destination. Its
 * caller sees only the pause of the final copy.
 *
 * <p>If copying all runs of an engine would exceed {@value #CONCURRENT_COPY_LIMIT_MS} ms, the
 * daemon copies one run at a time, the one with the longest remaining output first, because copies
 * queue on the engine's link.
 *
 * <p>Not thread-safe.
 */
final class RunMigrator {

  /** After a copy no longer than this the run is stopped: callers do not notice such a pause. */
  static final long STOP_THRESHOLD_MS = 60;

  /** The time after the notice at which a run is stopped at the latest; engines leave at 1.5 s. */
  static final long STOP_DEADLINE_MS = 1_200;

  /**
   * Runs of an engine whose copies take no longer than this in total are copied concurrently. The
   * short copies of new tokens then do not queue behind long ones, which callers would notice as a
   * pause.
   */
  static final long CONCURRENT_COPY_LIMIT_MS = 800;

  /** The time limit of a single copy. */
  private static final long COPY_TIMEOUT_MS = 1_500;

  /** The base delay before a copy is retried; it grows with each failure. */
  private static final long RETRY_DELAY_MS = 50;

  /** The limit of that growth: 200 ms still leave several attempts before the engine is gone. */
  private static final int MAX_RETRY_DELAY_FACTOR = 4;

  /** Runs of an engine that still works this long after its notice are not copied any more. */
  private static final long MIGRATION_TIMEOUT_MS = 6_000;

  /** Time for two orders to stop a run whose answer was lost; then the run is given up. */
  private static final long LOST_RUN_TIMEOUT_MS = 2 * COPY_TIMEOUT_MS;

  /** The time for which a stopped run is offered to its engines; copies expire soon after. */
  private static final long CONTINUATION_TIMEOUT_MS = 3_000;

  /** The time after the stop of a run for which a leaving holder of its copy is offered it. */
  private static final long LEAVING_HOLDER_MS = 300;

  private static final double BITS_PER_BYTE = 8;
  private static final double BITS_PER_MS_PER_MBPS = 1_000;

  private final Map<String, RunMigration> migrations = new LinkedHashMap<>();
  private final Map<String, Integer> copiesByDestination = new HashMap<>();

  /** Returns the migration of a call, if there is one. */
  Optional<RunMigration> find(String callId) {
    return Optional.ofNullable(migrations.get(callId));
  }

  /**
   * Starts to migrate calls off a leaving engine.
   *
   * @param copyAllMs the time to copy the runs of all daemons at the engine, in milliseconds
   */
  void start(long nowMs, RoutedTarget source, List<ActiveCall> calls, long copyAllMs) {
    boolean concurrent = copyAllMs <= CONCURRENT_COPY_LIMIT_MS;
    calls.stream()
        .filter(call -> !migrations.containsKey(call.callId()))
        .sorted(Comparator.comparingLong(RunMigrator::remainingTokens).reversed())
        .forEach(
            call ->
                migrations.put(call.callId(), new RunMigration(call, source, nowMs, concurrent)));
  }

  /** Removes the migration of a call; returns the release of its unused copy, if there is one. */
  Optional<DispatchEffect.ReleaseCopy> remove(String callId) {
    RunMigration migration = migrations.remove(callId);
    if (migration == null || migration.step() == RunMigration.Step.CONTINUING) {
      return Optional.empty();
    }
    return migration
        .latestCopy()
        .map(copy -> new DispatchEffect.ReleaseCopy(migration.source().address(), copy.handle()));
  }

  /** Starts the copies that are due. Each is reported before the next destination is chosen. */
  void startDueCopies(
      long nowMs,
      Function<ActiveCall, List<Candidate>> engines,
      Consumer<DispatchEffect.CopyRun> onStarted) {
    for (RunMigration migration : List.copyOf(migrations.values())) {
      boolean timedOut = nowMs - migration.noticedAtMs() > MIGRATION_TIMEOUT_MS;
      boolean mayCopy =
          migration.isConcurrent() || migration.mustStop() || !isSourceBusy(migration.source());
      if (timedOut
          && migration.step() == RunMigration.Step.WAITING
          && migration.latestCopy().isEmpty()) {
        migrations.remove(migration.call().callId());
      } else if (!timedOut && migration.isDue(nowMs) && mayCopy) {
        startCopy(nowMs, migration, engines).ifPresent(onStarted);
      }
    }
  }

  /**
   * The action that follows a copy.
   *
   * @param copy the next copy of the run; empty if none is due now
   * @param ready the migration whose run continues at its destination now; empty if none does
   */
  record CopyFollowUp(Optional<DispatchEffect.CopyRun> copy, Optional<RunMigration> ready) {

    private static final CopyFollowUp NOTHING =
        new CopyFollowUp(Optional.empty(), Optional.empty());
  }

  /**
   * Processes the end of a copy and returns the action that follows it.
   *
   * @param leaving whether an engine is leaving or has left
   * @param engines the engines that can receive a run
   */
  CopyFollowUp onCopyEnded(
      DispatchEvent.RunCopied event,
      Predicate<RoutedTarget> leaving,
      Function<ActiveCall, List<Candidate>> engines) {
    RunMigration migration = migrations.get(event.callId());
    if (migration == null || !migration.isCopying(event.round())) {
      // The run has ended, continues, or is copied anew; engines free unused copies after a while.
      return CopyFollowUp.NOTHING;
    }
    boolean copyExists =
        event.outcome() == CopyOutcome.COPIED || migration.step() == RunMigration.Step.STOPPING;
    if (copyExists && !event.handle().isEmpty()) {
      migration.completeCopy(event.handle());
    }
    if (migration.step() == RunMigration.Step.STOPPING) {
      return onFinalCopyEnded(event, migration);
    }
    return switch (event.outcome()) {
      case COPIED ->
          leaving.test(migration.destination().orElseThrow())
                  && mayStillChangeDestination(event.nowMs(), migration, engines)
              ? scheduleRetry(event.nowMs(), migration, true)
              : new CopyFollowUp(Optional.of(nextCopy(event.nowMs(), migration)), Optional.empty());
      case BUSY, NO_RUN, UNREACHABLE -> scheduleRetry(event.nowMs(), migration, false);
      case NO_ROOM -> scheduleRetry(event.nowMs(), migration, true);
      case UNKNOWN ->
          scheduleRetry(
              event.nowMs(), migration, !migration.hasCopyAt(migration.destination().get().id()));
    };
  }

  /** Late after the notice there is no time for a whole copy to another engine. */
  private boolean mayStillChangeDestination(
      long nowMs, RunMigration migration, Function<ActiveCall, List<Candidate>> engines) {
    return nowMs - migration.noticedAtMs() < STOP_DEADLINE_MS
        && chooseDestination(migration, engines).isPresent();
  }

  /**
   * Continues the run only if it no longer runs at its source: the source has acknowledged the
   * order to stop, does not know the run, or cannot be reached after its answer was lost.
   */
  private CopyFollowUp onFinalCopyEnded(DispatchEvent.RunCopied event, RunMigration migration) {
    boolean stopped = event.outcome() == CopyOutcome.COPIED || !event.handle().isEmpty();
    boolean answering = migration.call().isAssignedTo(migration.source().id());
    boolean ended =
        event.outcome() == CopyOutcome.NO_RUN || event.outcome() == CopyOutcome.UNREACHABLE;
    if (event.outcome() == CopyOutcome.NO_RUN) {
      migration.endRun();
    }
    if (event.outcome() == CopyOutcome.UNKNOWN) {
      migration.leaveStopUnconfirmed();
    }
    if (!stopped && (!ended || answering)) {
      // While the source answers, the end of its answer may still be on its way to this daemon.
      return scheduleRetry(event.nowMs(), migration, false);
    }
    if (migration.latestCopy().isEmpty()) {
      migrations.remove(event.callId());
      return CopyFollowUp.NOTHING;
    }
    endCopies(event.nowMs(), migration);
    return new CopyFollowUp(Optional.empty(), Optional.of(migration));
  }

  /** Records that a run is stopped, and is continued from its latest copy. */
  void endCopies(long nowMs, RunMigration migration) {
    migration.endCopies(nowMs, nowMs + CONTINUATION_TIMEOUT_MS);
  }

  /** Returns the migrations of stopped runs whose next attempt to continue is due. */
  List<RunMigration> findDueContinuations(long nowMs) {
    return migrations.values().stream()
        .filter(migration -> migration.isContinuationDue(nowMs))
        .toList();
  }

  /**
   * Returns the engines that may continue a stopped run: holder and source, in turn. Each serves
   * for a limited time after its notice.
   *
   * @param leaving whether an engine is leaving or has left
   */
  static List<RoutedTarget> findContinuationEngines(
      long nowMs, RunMigration migration, Predicate<RoutedTarget> leaving) {
    RoutedTarget holder = migration.latestCopy().orElseThrow().holder();
    RoutedTarget source = migration.source();
    boolean sourceLeaves = nowMs - migration.noticedAtMs() > STOP_DEADLINE_MS;
    boolean holderLeaves =
        leaving.test(holder) && nowMs - migration.stoppedAtMs() > LEAVING_HOLDER_MS;
    boolean sourceFirst = migration.failedContinuations() % 2 == 1;
    return Stream.of(sourceFirst ? source : holder, sourceFirst ? holder : source)
        .filter(engine -> !migration.isGone(engine))
        .filter(engine -> !(engine == source && (sourceLeaves || migration.hasRunEnded())))
        .filter(engine -> !(engine == holder && holderLeaves))
        .toList();
  }

  /** Delays the next attempt to continue a stopped run, the longer the more have failed. */
  static void delayContinuation(long nowMs, RunMigration migration) {
    int delays = Math.min(Math.max(1, migration.failedContinuations()), MAX_RETRY_DELAY_FACTOR);
    migration.waitForEngine(nowMs + delays * RETRY_DELAY_MS);
  }

  /**
   * Orders the source of a run whose answer was lost to stop the run, which may go on.
   *
   * @return the order
   */
  DispatchEffect.CopyRun stopLostRun(long nowMs, RunMigration migration) {
    migration.loseAnswer(nowMs + LOST_RUN_TIMEOUT_MS);
    return stop(nowMs, migration);
  }

  /** Records that the answer of a source that is ordered to stop its run has ended. */
  void onAnswerLost(long nowMs, RunMigration migration) {
    migration.loseAnswer(nowMs + LOST_RUN_TIMEOUT_MS);
  }

  /** Returns the migrations of lost runs that no engine confirmed to have ended in time. */
  List<RunMigration> findOverdue(long nowMs) {
    return migrations.values().stream().filter(migration -> migration.isOverdue(nowMs)).toList();
  }

  private DispatchEffect.CopyRun stop(long nowMs, RunMigration migration) {
    RoutedTarget to =
        migration.destination().orElseGet(() -> migration.latestCopy().orElseThrow().holder());
    return copy(nowMs, migration, to, true);
  }

  private DispatchEffect.CopyRun nextCopy(long nowMs, RunMigration migration) {
    boolean isShort = nowMs - migration.stepStartedMs() <= STOP_THRESHOLD_MS;
    boolean late = nowMs - migration.noticedAtMs() >= STOP_DEADLINE_MS;
    return copy(nowMs, migration, migration.destination().orElseThrow(), isShort || late);
  }

  private CopyFollowUp scheduleRetry(long nowMs, RunMigration migration, boolean failed) {
    int delays = Math.min(1 + migration.failures(), MAX_RETRY_DELAY_FACTOR);
    migration.scheduleRetry(nowMs + delays * RETRY_DELAY_MS, failed);
    return CopyFollowUp.NOTHING;
  }

  private Optional<DispatchEffect.CopyRun> startCopy(
      long nowMs, RunMigration migration, Function<ActiveCall, List<Candidate>> engines) {
    if (migration.mustStop()) {
      return Optional.of(stop(nowMs, migration));
    }
    Optional<Candidate> chosen = chooseDestination(migration, engines);
    if (chosen.isEmpty()) {
      migration.clearFailedDestinations();
      scheduleRetry(nowMs, migration, true);
      return Optional.empty();
    }
    return Optional.of(copy(nowMs, migration, chosen.get().target(), false));
  }

  private DispatchEffect.CopyRun copy(
      long nowMs, RunMigration migration, RoutedTarget destination, boolean stop) {
    migration.startCopy(nowMs, destination, stop);
    return new DispatchEffect.CopyRun(
        migration.call().callId(),
        migration.round(),
        migration.source().address(),
        destination.address(),
        stop,
        nowMs + COPY_TIMEOUT_MS);
  }

  /**
   * Chooses the destination of a run. Prefers the engine that holds a copy, then engines whose
   * memory is expected to hold the run to its end, then for a long run those that are not slow,
   * then the source's availability zone, then engines that receive the fewest copies, then those
   * with the least memory in use. Engines without enough memory are not excluded: a run that may be
   * preempted is better than a lost one.
   */
  private Optional<Candidate> chooseDestination(
      RunMigration migration, Function<ActiveCall, List<Candidate>> engines) {
    copiesByDestination.clear();
    migrations.values().stream()
        .filter(other -> other != migration && !isSameSource(other, migration))
        .forEach(
            other ->
                other
                    .destination()
                    .ifPresent(to -> copiesByDestination.merge(to.id(), 1, Integer::sum)));
    long needed = migration.call().expectedMemoryTokens();
    Comparator<Candidate> order =
        Comparator.comparing((Candidate candidate) -> !migration.hasCopyAt(candidate.target().id()))
            .thenComparing(candidate -> !fits(candidate, needed))
            .thenComparing(candidate -> candidate.isSlow() && isLong(migration, candidate))
            .thenComparing(
                candidate -> !candidate.target().zone().equals(migration.source().zone()))
            .thenComparing(
                candidate -> copiesByDestination.getOrDefault(candidate.target().id(), 0))
            .thenComparing(candidate -> candidate.use().memoryTokens());
    return engines.apply(migration.call()).stream()
        .filter(candidate -> !candidate.target().id().equals(migration.source().id()))
        .filter(candidate -> !migration.hasFailedAt(candidate.target().id()))
        .filter(candidate -> candidate.use().calls() < candidate.target().slots())
        .min(order);
  }

  private static boolean isLong(RunMigration migration, Candidate candidate) {
    return migration
        .call()
        .profile()
        .generation()
        .filter(run -> GapForecast.isLong(run, GapForecast.tokensPerEvent(candidate)))
        .isPresent();
  }

  private static boolean fits(Candidate candidate, long needed) {
    long memory = candidate.engine().map(EngineTraits::memoryTokens).orElse(Long.MAX_VALUE);
    return candidate.use().memoryTokens() + needed <= memory;
  }

  /** Estimates the time to copy the memory of an engine within its availability zone. */
  static long estimateCopyMs(long tokens, EngineTraits engine) {
    if (engine.linkMbps() <= 0) {
      return 0;
    }
    double bits = tokens * engine.bytesPerToken() * BITS_PER_BYTE;
    return Math.round(bits / (engine.linkMbps() * BITS_PER_MS_PER_MBPS));
  }

  private boolean isSourceBusy(RoutedTarget source) {
    return migrations.values().stream()
        .filter(migration -> migration.source().id().equals(source.id()))
        .anyMatch(RunMigration::isCopying);
  }

  private static boolean isSameSource(RunMigration one, RunMigration other) {
    return one.source().id().equals(other.source().id());
  }

  private static long remainingTokens(ActiveCall call) {
    return call.profile().generation().map(GenerationDemand::maxOutputTokens).orElse(0L);
  }
}
