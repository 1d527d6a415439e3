package org.sequoiareach.decision.reducer;

import java.util.HashSet;
import java.util.Set;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;

/** Holds a request that this daemon took, from its arrival to its final answer. */
final class ActiveRequest {

  /** Names where a request stands. */
  enum Stage {
    /** Its idempotency key is being claimed. */
    CLAIMING,
    /** It waits for a portion of its organisation's plan. */
    FUNDING,
    /** An attempt is with the owner of its target, or on the target. */
    TRYING
  }

  final RequestSpec spec;
  final int priority;
  final long sheetVersion;
  final long deadlineMs;
  final Set<String> triedTargets = new HashSet<>();
  final Set<String> failedOwners = new HashSet<>();
  int attempts;
  Stage stage = Stage.TRYING;
  boolean claimed;
  String attemptId = "";
  String targetId = "";
  String ownerId = "";
  boolean started;
  int resumes;
  Verdict verdict = Verdict.NOT_RUN;
  long retryAfterMs;
  long fundByMs;
  int attemptTokens;
  long usedTokens;

  ActiveRequest(RequestSpec spec, int priority, long sheetVersion, long deadlineMs) {
    this.spec = spec;
    this.priority = priority;
    this.sheetVersion = sheetVersion;
    this.deadlineMs = deadlineMs;
  }

  /** Returns the identity of a new attempt; it is unique, as the request's identity is. */
  String nextAttemptId() {
    attempts++;
    return spec.requestId() + "-" + attempts;
  }
}
