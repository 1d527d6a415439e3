package org.sequoiareach.decision.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.sequoiareach.model.route.RoutedTarget;

/** Follows the move of one run off an engine that leaves. Not thread-safe. */
final class RunMove {

  /** The steps of a move. */
  enum Step {
    /** Other runs of the engine are copied first, or a copy is tried again after a pause. */
    WAITING,
    /** The memory is copied while the run goes on. */
    COPYING,
    /** The run has stopped, and the rest is copied. */
    STOPPING,
    /** The request is sent to the engine that holds the copy. */
    CONTINUING
  }

  /**
   * Names a copy of the run that an engine holds.
   *
   * @param holder the engine
   * @param handle the copy
   */
  record HeldCopy(RoutedTarget holder, String handle) {}

  private final ActiveCall call;
  private final RoutedTarget source;
  private final long noticedMs;
  private final boolean together;
  private Step step = Step.WAITING;
  private final Set<String> failedDestinations = new HashSet<>();
  private Optional<RoutedTarget> destination = Optional.empty();
  private Optional<HeldCopy> held = Optional.empty();
  private int round;
  private int failures;
  private long stepStartedMs;
  private long tryAgainMs;

  RunMove(ActiveCall call, RoutedTarget source, long noticedMs, boolean together) {
    this.call = call;
    this.source = source;
    this.noticedMs = noticedMs;
    this.together = together;
  }

  ActiveCall call() {
    return call;
  }

  RoutedTarget source() {
    return source;
  }

  long noticedMs() {
    return noticedMs;
  }

  /** Tells whether all runs of the source are copied at once. */
  boolean isTogether() {
    return together;
  }

  Step step() {
    return step;
  }

  Optional<RoutedTarget> destination() {
    return destination;
  }

  /** Tells whether a copy to an engine has failed. */
  boolean hasFailedAt(String targetId) {
    return failedDestinations.contains(targetId);
  }

  /** Forgets which engines had no room, since runs end there meanwhile. */
  void forgetFailedDestinations() {
    failedDestinations.clear();
  }

  /** Returns the newest copy, which outlives its source and later copies that fail. */
  Optional<HeldCopy> held() {
    return held;
  }

  boolean isHeldAt(String targetId) {
    return held.filter(copy -> copy.holder().id().equals(targetId)).isPresent();
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
    return step == Step.WAITING && tryAgainMs <= nowMs;
  }

  void copying(long nowMs, RoutedTarget to, boolean stop) {
    step = stop ? Step.STOPPING : Step.COPYING;
    destination = Optional.of(to);
    round++;
    stepStartedMs = nowMs;
  }

  void copied(String handle) {
    held = Optional.of(new HeldCopy(destination.orElseThrow(), handle));
  }

  void continuing(long nowMs) {
    step = Step.CONTINUING;
    stepStartedMs = nowMs;
  }

  /** Waits before the next copy, after one that did not succeed. */
  void tryAgainAt(long atMs, boolean failed) {
    step = Step.WAITING;
    tryAgainMs = atMs;
    if (failed) {
      failures++;
      destination.ifPresent(to -> failedDestinations.add(to.id()));
      destination = Optional.empty();
    }
  }
}
