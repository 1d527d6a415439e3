package org.sequoiareach.decision.reducer;

import org.sequoiareach.decision.effect.Effect;

/**
 * Decides whether the daemon may take requests: it has a sheet, knows its targets, was not paused
 * since it last learnt of both, and is not leaving.
 */
final class Readiness {

  private static final long NEVER_MS = -1;

  private final ReducerSettings settings;
  private final EffectLog log;
  private long sheetNeededSinceMs;
  private long listNeededSinceMs;
  private long sheetConfirmedMs = NEVER_MS;
  private long listConfirmedMs = NEVER_MS;
  private boolean draining;
  private long noticeEndMs;
  private long drainDeadlineMs;
  private boolean stopped;
  private String announced = "not announced yet";

  Readiness(ReducerSettings settings, EffectLog log) {
    this.settings = settings;
    this.log = log;
  }

  /** Distrusts all that was known before a pause of the process. */
  void paused(long nowMs) {
    sheetNeededSinceMs = nowMs;
    listNeededSinceMs = nowMs;
    log.control("paused", "", 0, "the process was paused; sheet and targets are read again");
    log.add(new Effect.ReadPlatform("the process was paused"));
  }

  void sheetConfirmed(long askedMs) {
    sheetConfirmedMs = Math.max(sheetConfirmedMs, askedMs);
  }

  void listConfirmed(long askedMs) {
    listConfirmedMs = Math.max(listConfirmedMs, askedMs);
  }

  /** The service was asked and did not answer: what is known is the best there is. */
  void sheetReadFailed(long nowMs) {
    if (sheetConfirmedMs != NEVER_MS) {
      sheetConfirmedMs = Math.max(sheetConfirmedMs, sheetNeededSinceMs);
    }
  }

  void listFailed(long nowMs) {
    if (listConfirmedMs != NEVER_MS) {
      listConfirmedMs = Math.max(listConfirmedMs, listNeededSinceMs);
    }
  }

  boolean knowsTargets() {
    return listConfirmedMs != NEVER_MS && listConfirmedMs >= listNeededSinceMs;
  }

  boolean knowsSheet() {
    return sheetConfirmedMs != NEVER_MS && sheetConfirmedMs >= sheetNeededSinceMs;
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
    return uncertainty();
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
  void announce(long sheetVersion) {
    String obstacle = draining ? "the daemon is leaving" : uncertainty();
    if (obstacle.equals(announced)) {
      return;
    }
    announced = obstacle;
    log.add(new Effect.SetReady(obstacle.isEmpty(), obstacle));
    log.control(obstacle.isEmpty() ? "ready" : "not-ready", "", sheetVersion, obstacle);
  }

  private String uncertainty() {
    if (!knowsSheet()) {
      return "the sheet in force is not known";
    }
    return knowsTargets() ? "" : "the list of targets is not known";
  }
}
