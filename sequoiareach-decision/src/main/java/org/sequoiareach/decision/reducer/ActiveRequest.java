package org.sequoiareach.decision.reducer;

import java.util.HashSet;
import java.util.Set;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;

/** State of a request that a caller sent to this daemon, from arrival to final answer. */
final class ActiveRequest {

  /** Processing stage of a request. */
  enum Stage {
    /** The request waits for the claim of its idempotency key. */
    CLAIMING,
    /** The request waits for tokens of its organisation's daily plan. */
    AWAITING_BUDGET,
    /** The request is being routed, queued at the owner of its target, or run by the target. */
    ATTEMPTING
  }

  final RequestSpec spec;
  final int priority;
  final long sheetVersion;
  final long deadlineMs;
  final Set<String> triedTargets = new HashSet<>();
  final Set<String> failedOwners = new HashSet<>();
  int attempts;
  Stage stage = Stage.ATTEMPTING;
  boolean claimed;
  String attemptId = "";
  String targetId = "";
  String ownerId = "";
  boolean started;
  int resumes;
  Verdict verdict = Verdict.NOT_RUN;
  long retryAfterMs;
  long budgetDeadlineMs;
  int attemptTokens;
  long usedTokens;

  ActiveRequest(RequestSpec spec, int priority, long sheetVersion, long deadlineMs) {
    this.spec = spec;
    this.priority = priority;
    this.sheetVersion = sheetVersion;
    this.deadlineMs = deadlineMs;
  }

  /** Creates the id of the next attempt by appending the attempt number to the request id. */
  String nextAttemptId() {
    attempts++;
    return spec.requestId() + "-" + attempts;
  }
}
