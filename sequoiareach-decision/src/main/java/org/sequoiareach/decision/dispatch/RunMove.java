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

  private final ActiveCall call;
  private final RoutedTarget source;
  private final long noticedMs;
  private final boolean together;
  private Step step = Step.WAITING;
  private final Set<String> failedDestinations = new HashSet<>();
  private Optional<RoutedTarget> destination = Optional.empty();
  private String handle = "";
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

  String handle() {
    return handle;
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
    if (destination.filter(to::isSameIncarnation).isEmpty()) {
      handle = "";
    }
    step = stop ? Step.STOPPING : Step.COPYING;
    destination = Optional.of(to);
    round++;
    stepStartedMs = nowMs;
  }

  void copied(String copyHandle) {
    handle = copyHandle;
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
