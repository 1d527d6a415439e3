package org.sequoiareach.decision.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.decision.limit.PermitDecision;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Holds calls until a permit to send them to a target with a rate limit is granted or denied. Not
 * thread-safe.
 */
final class PermitHandler {

  /** The time to wait for the owner of a target, many round trips within a region. */
  private static final long OWNER_TIMEOUT_MS = 200;

  /** How long a caller stays away if nothing is known of the permits of a target. */
  private static final long UNKNOWN_RETURN_MS = 1_000;

  /** Continues the placement of a call after the decision on its permit. */
  interface Listener {

    /** Sends a call whose permit has started. */
    void onPermitStarted(long nowMs, PermitWait wait);

    /** Places a call elsewhere, whose permit was denied. */
    void onPermitDenied(long nowMs, PermitWait wait);
  }

  private final ActiveCalls calls;
  private final LimitHandler limits;
  private final Listener listener;
  private final Map<String, PermitWait> waits = new LinkedHashMap<>();

  PermitHandler(ActiveCalls calls, LimitHandler limits, Listener listener) {
    this.calls = calls;
    this.limits = limits;
    this.listener = listener;
  }

  /** Requests a permit for a call; the listener is notified of the decision, at once or later. */
  void request(
      long nowMs,
      ActiveCall call,
      RoutedTarget target,
      String why,
      Optional<DispatchEvent.AttemptFailed> failure,
      long latestStartMs) {
    PermitWait wait =
        new PermitWait(call, target, why, failure, nowMs + OWNER_TIMEOUT_MS, OptionalLong.empty());
    Optional<PermitDecision> decision = limits.request(nowMs, call, target, latestStartMs);
    if (decision.isPresent()) {
      decide(nowMs, wait, decision.get());
    } else {
      waits.put(call.callId(), wait);
    }
  }

  void onPermitAnswered(DispatchEvent.PermitAnswered event) {
    PermitWait wait = waits.get(event.callId());
    if (wait == null
        || wait.startAtMs().isPresent()
        || !wait.target().id().equals(event.targetId())) {
      return;
    }
    waits.remove(event.callId());
    if (calls.find(event.callId()).isPresent()) {
      decide(event.nowMs(), wait, new PermitDecision(event.granted(), event.atMs()));
    }
  }

  void tick(long nowMs) {
    waits.keySet().removeIf(callId -> calls.find(callId).isEmpty());
    for (PermitWait wait : List.copyOf(waits.values())) {
      if (wait.isOverdue(nowMs)) {
        waits.remove(wait.call().callId());
        limits.onOwnerSilent(nowMs, wait.target());
        decide(nowMs, wait, new PermitDecision(false, nowMs + UNKNOWN_RETURN_MS));
      } else if (wait.isDue(nowMs)) {
        waits.remove(wait.call().callId());
        listener.onPermitStarted(nowMs, wait);
      }
    }
  }

  private void decide(long nowMs, PermitWait wait, PermitDecision decision) {
    String inputs =
        (decision.granted() ? "startsIn=" : "returnIn=")
            + (decision.atMs() - nowMs)
            + "ms "
            + limits.describe(nowMs, wait.target());
    calls.logDecision(
        decision.granted() ? "permit-granted" : "permit-denied",
        wait.call(),
        wait.target().id(),
        inputs);
    if (!decision.granted()) {
      wait.call().permitDenied(wait.target().id(), decision.atMs());
      listener.onPermitDenied(nowMs, wait);
    } else if (decision.atMs() <= nowMs) {
      listener.onPermitStarted(nowMs, wait);
    } else {
      waits.put(wait.call().callId(), wait.startingAt(decision.atMs()));
    }
  }
}
