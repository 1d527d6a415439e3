package org.sequoiareach.decision.reducer;

import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.sheet.SheetGuard;

/**
 * Tracks whether the daemon may accept requests.
 *
 * <p>The daemon is ready if it has a current sheet and a current VM list and is not draining. Sheet
 * and list count as stale after a pause of the process until they have been read again. A draining
 * daemon publishes itself as not ready at once, but accepts requests until the drain notice ends,
 * so that the load balancer has time to react.
 */
final class ReadinessTracker {

  private static final long NEVER_MS = -1;

  private final ReducerSettings settings;
  private final SheetGuard guard;
  private final EffectCollector effects;
  private long listRequiredSinceMs;
  private long listConfirmedMs = NEVER_MS;
  private boolean draining;
  private long noticeEndMs;
  private long drainDeadlineMs;
  private boolean drained;
  private String publishedReason = "not published yet";

  ReadinessTracker(ReducerSettings settings, SheetGuard guard, EffectCollector effects) {
    this.settings = settings;
    this.guard = guard;
    this.effects = effects;
  }

  /** Marks the VM list as stale after a pause of the process and requests new reads. */
  void handlePause(long nowMs) {
    listRequiredSinceMs = nowMs;
    effects.logControl(
        "paused", "", 0, "the process was paused; the sheet and the VM list are read again");
    effects.add(new Effect.ReadPlatform("the process was paused"));
  }

  void listConfirmed(long askedMs) {
    listConfirmedMs = Math.max(listConfirmedMs, askedMs);
  }

  /** Accepts the last list that was read, if any, because a newer one is not available. */
  void listFailed(long nowMs) {
    if (listConfirmedMs != NEVER_MS) {
      listConfirmedMs = Math.max(listConfirmedMs, listRequiredSinceMs);
    }
  }

  boolean hasFreshTargets() {
    return listConfirmedMs != NEVER_MS && listConfirmedMs >= listRequiredSinceMs;
  }

  void startDrain(long nowMs, long deadlineMs) {
    if (draining) {
      drainDeadlineMs = Math.min(drainDeadlineMs, deadlineMs);
      return;
    }
    draining = true;
    noticeEndMs = nowMs + settings.drainNoticeMs();
    drainDeadlineMs = deadlineMs;
  }

  /** Returns why a new request cannot be accepted, or an empty string. */
  String findNotReadyReason(long nowMs) {
    if (draining && nowMs >= noticeEndMs) {
      return "the daemon is draining";
    }
    return findStaleStateReason(nowMs);
  }

  /** Returns whether attempts forwarded by other daemons are accepted. */
  boolean acceptsForwarded(long nowMs) {
    return hasFreshTargets() && !(draining && nowMs >= noticeEndMs);
  }

  /** Returns true once, when the daemon is idle after the notice or its drain deadline passed. */
  boolean isDrained(long nowMs, boolean idle) {
    if (!draining || drained) {
      return false;
    }
    drained = (idle && nowMs >= noticeEndMs) || nowMs >= drainDeadlineMs;
    return drained;
  }

  /** Publishes the readiness to the load balancer if it has changed. */
  void publishChange(long nowMs, long sheetVersion) {
    String reason = draining ? "the daemon is draining" : findStaleStateReason(nowMs);
    if (reason.equals(publishedReason)) {
      return;
    }
    publishedReason = reason;
    effects.add(new Effect.SetReady(reason.isEmpty(), reason));
    effects.logControl(reason.isEmpty() ? "ready" : "not-ready", "", sheetVersion, reason);
  }

  private String findStaleStateReason(long nowMs) {
    Optional<String> sheetReason = guard.notReadyReason(nowMs);
    if (sheetReason.isPresent()) {
      return sheetReason.get();
    }
    return hasFreshTargets() ? "" : "the VM list is missing or stale";
  }
}
