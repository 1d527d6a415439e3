package org.sequoiareach.decision.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.sequoiareach.model.route.RoutedTarget;

/** Holds the state of migrating one run off a leaving engine. Not thread-safe. */
final class RunMigration {

  /** Two at each of its engines: each rejected attempt counts as a retry at the service. */
  private static final int MAX_REJECTED_CONTINUATIONS = 4;

  /** The steps of a migration. */
  enum Step {
    /** Other runs of the engine are copied first, or a failed copy is to be retried. */
    WAITING,
    /** The memory is copied while the run continues at the source. */
    COPYING,
    /** The run is stopped and the remaining memory is copied. */
    STOPPING,
    /** The run is stopped, and no engine could take it yet. */
    STOPPED,
    /** The call is sent to the engine that holds the copy, or back to the stopped source. */
    CONTINUING
  }

  /**
   * A copy of the run's memory.
   *
   * @param holder the engine that holds the copy
   * @param handle the handle of the copy
   */
  record CompletedCopy(RoutedTarget holder, String handle) {}

  private final ActiveCall call;
  private final RoutedTarget source;
  private final long noticedAtMs;
  private final boolean concurrent;
  private Step step = Step.WAITING;
  private final Set<String> failedDestinations = new HashSet<>();
  private Optional<RoutedTarget> destination = Optional.empty();
  private Optional<CompletedCopy> latestCopy = Optional.empty();
  private int round;
  private int failures;
  private long stepStartedMs;
  private long retryAtMs;
  private boolean stopUnconfirmed;
  private boolean runEnded;
  private OptionalLong giveUpAtMs = OptionalLong.empty();
  private final Set<String> goneEngines = new HashSet<>();
  private OptionalLong continueByMs = OptionalLong.empty();
  private long stoppedAtMs;
  private int failedContinuations;
  private int rejectedContinuations;

  RunMigration(ActiveCall call, RoutedTarget source, long noticedAtMs, boolean concurrent) {
    this.call = call;
    this.source = source;
    this.noticedAtMs = noticedAtMs;
    this.concurrent = concurrent;
  }

  ActiveCall call() {
    return call;
  }

  RoutedTarget source() {
    return source;
  }

  long noticedAtMs() {
    return noticedAtMs;
  }

  /** Returns whether all runs of the source are copied concurrently. */
  boolean isConcurrent() {
    return concurrent;
  }

  Step step() {
    return step;
  }

  Optional<RoutedTarget> destination() {
    return destination;
  }

  /** Returns whether the current destination holds a copy of the run or is receiving one. */
  boolean occupiesDestination() {
    return step != Step.CONTINUING && step != Step.STOPPED && destination.isPresent();
  }

  /** Returns whether a copy to the given engine has failed. */
  boolean hasFailedAt(String targetId) {
    return failedDestinations.contains(targetId);
  }

  /** Allows failed destinations again, since runs that end there free memory. */
  void clearFailedDestinations() {
    failedDestinations.clear();
  }

  /** Returns the latest copy, which stays usable after its source or a later copy fails. */
  Optional<CompletedCopy> latestCopy() {
    return latestCopy;
  }

  boolean hasCopyAt(String targetId) {
    return latestCopy.filter(copy -> copy.holder().id().equals(targetId)).isPresent();
  }

  int round() {
    return round;
  }

  int failures() {
    return failures;
  }

  long stepStartedMs() {
    return stepStartedMs;
  }

  boolean isDue(long nowMs) {
    return step == Step.WAITING && retryAtMs <= nowMs;
  }

  /** Returns whether a copy is in progress. */
  boolean isCopying() {
    return step == Step.COPYING || step == Step.STOPPING;
  }

  /** Returns whether the copy with the given number is in progress. */
  boolean isCopying(int copyRound) {
    return isCopying() && round == copyRound;
  }

  void startCopy(long nowMs, RoutedTarget to, boolean stop) {
    step = stop ? Step.STOPPING : Step.COPYING;
    destination = Optional.of(to);
    round = call.nextCopyRound();
    stepStartedMs = nowMs;
  }

  /** Records a copy, which shows that the run may have begun at its source. */
  void completeCopy(String handle) {
    call.recordPossibleRun(source.id());
    latestCopy = Optional.of(new CompletedCopy(destination.orElseThrow(), handle));
  }

  /**
   * Records that the answer of the source ended without the end of its run, which may go on.
   *
   * @param atMs when the run is given up unless its engine has confirmed that it has ended
   */
  void loseAnswer(long atMs) {
    if (giveUpAtMs.isEmpty()) {
      giveUpAtMs = OptionalLong.of(atMs);
    }
  }

  boolean isAnswerLost() {
    return giveUpAtMs.isPresent();
  }

  /** Returns whether the run is to be given up, because no engine is known to work on it alone. */
  boolean isOverdue(long nowMs) {
    return step == Step.WAITING && giveUpAtMs.isPresent() && giveUpAtMs.getAsLong() <= nowMs;
  }

  /** Records that the response to an order to stop the run was lost. */
  void leaveStopUnconfirmed() {
    stopUnconfirmed = true;
  }

  /**
   * Returns whether each further copy must stop the run: another engine may continue it only once
   * the source has confirmed that it no longer works on it.
   */
  boolean mustStop() {
    return stopUnconfirmed || isAnswerLost();
  }

  /** Records that the source does not know the run any more. */
  void endRun() {
    runEnded = true;
  }

  boolean hasRunEnded() {
    return runEnded;
  }

  /**
   * Records that the run is stopped, so that an engine is to continue it.
   *
   * @param untilMs until when an engine may continue it; the first call counts
   */
  void endCopies(long nowMs, long untilMs) {
    step = Step.STOPPED;
    stepStartedMs = nowMs;
    retryAtMs = nowMs;
    if (continueByMs.isEmpty()) {
      stoppedAtMs = nowMs;
      continueByMs = OptionalLong.of(untilMs);
    }
  }

  void startContinuation(long nowMs) {
    step = Step.CONTINUING;
    stepStartedMs = nowMs;
  }

  /**
   * Records that an engine did not continue the run.
   *
   * @param gone whether it never will
   * @param reached whether it rejected the run, so that the attempt was load for it
   */
  void failContinuation(long nowMs, String engineId, boolean gone, boolean reached) {
    step = Step.STOPPED;
    retryAtMs = nowMs;
    failedContinuations++;
    rejectedContinuations += reached ? 1 : 0;
    if (gone) {
      goneEngines.add(engineId);
    }
  }

  /** Returns when the run was stopped. */
  long stoppedAtMs() {
    return stoppedAtMs;
  }

  int failedContinuations() {
    return failedContinuations;
  }

  boolean isGone(RoutedTarget engine) {
    return goneEngines.contains(engine.id());
  }

  /** Returns whether an engine may still continue the stopped run. */
  boolean mayContinue(long nowMs) {
    return rejectedContinuations < MAX_REJECTED_CONTINUATIONS
        && nowMs < continueByMs.orElse(Long.MAX_VALUE)
        && nowMs < call.deadlineMs();
  }

  /** Schedules the next attempt to continue the stopped run. */
  void waitForEngine(long untilMs) {
    retryAtMs = untilMs;
  }

  /** Returns whether the next attempt to continue the stopped run is due. */
  boolean isContinuationDue(long nowMs) {
    return step == Step.STOPPED && retryAtMs <= nowMs;
  }

  /** Schedules the next copy, and excludes the current destination if its copy failed. */
  void scheduleRetry(long atMs, boolean failed) {
    step = Step.WAITING;
    retryAtMs = atMs;
    if (failed) {
      failures++;
      destination.ifPresent(to -> failedDestinations.add(to.id()));
      destination = Optional.empty();
    }
  }
}
