package org.sequoiareach.decision.reducer;

import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.sheet.SheetGuard;

/**
 * Decides whether the daemon may take requests: it has a sheet, knows its targets, was not paused
 * since it last learnt of both, and is not leaving.
 */
final class Readiness {

  private static final long NEVER_MS = -1;

  private final ReducerSettings settings;
  private final SheetGuard guard;
  private final EffectLog log;
  private long listNeededSinceMs;
  private long listConfirmedMs = NEVER_MS;
  private boolean draining;
  private long noticeEndMs;
  private long drainDeadlineMs;
  private boolean stopped;
  private String announced = "not announced yet";

  Readiness(ReducerSettings settings, SheetGuard guard, EffectLog log) {
    this.settings = settings;
    this.guard = guard;
    this.log = log;
  }

  /** Distrusts all that was known before a pause of the process. */
  void paused(long nowMs) {
    listNeededSinceMs = nowMs;
    log.control("paused", "", 0, "the process was paused; sheet and targets are read again");
    log.add(new Effect.ReadPlatform("the process was paused"));
  }

  void listConfirmed(long askedMs) {
    listConfirmedMs = Math.max(listConfirmedMs, askedMs);
  }

  /** The list was asked for and did not come: what is known is the best there is. */
  void listFailed(long nowMs) {
    if (listConfirmedMs != NEVER_MS) {
      listConfirmedMs = Math.max(listConfirmedMs, listNeededSinceMs);
    }
  }

  boolean knowsTargets() {
    return listConfirmedMs != NEVER_MS && listConfirmedMs >= listNeededSinceMs;
  }

  void drain(long nowMs, long deadlineMs) {
    if (draining) {
      drainDeadlineMs = Math.min(drainDeadlineMs, deadlineMs);
      return;
    }
    draining = true;
    noticeEndMs = nowMs + settings.drainNoticeMs();
    drainDeadlineMs = deadlineMs;
  }

  /** Returns why a new request may not be taken now, or an empty text. */
  String obstacle(long nowMs) {
    if (draining && nowMs >= noticeEndMs) {
      return "the daemon is leaving";
    }
    return uncertainty(nowMs);
  }

  boolean takesForwarded(long nowMs) {
    return knowsTargets() && !(draining && nowMs >= noticeEndMs);
  }

  /** Tells once that nothing is left to do, or that the final deadline has passed. */
  boolean isDrained(long nowMs, boolean idle) {
    if (!draining || stopped) {
      return false;
    }
    stopped = (idle && nowMs >= noticeEndMs) || nowMs >= drainDeadlineMs;
    return stopped;
  }

  /** Tells the balancer when the answer has changed. */
  void announce(long nowMs, long sheetVersion) {
    String obstacle = draining ? "the daemon is leaving" : uncertainty(nowMs);
    if (obstacle.equals(announced)) {
      return;
    }
    announced = obstacle;
    log.add(new Effect.SetReady(obstacle.isEmpty(), obstacle));
    log.control(obstacle.isEmpty() ? "ready" : "not-ready", "", sheetVersion, obstacle);
  }

  private String uncertainty(long nowMs) {
    Optional<String> obstacle = guard.notReadyReason(nowMs);
    if (obstacle.isPresent()) {
      return obstacle.get();
    }
    return knowsTargets() ? "" : "the list of targets is not known";
  }
}
