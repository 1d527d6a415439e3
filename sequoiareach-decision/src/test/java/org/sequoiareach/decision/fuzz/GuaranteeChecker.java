package org.sequoiareach.decision.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiareach.model.request.Verdict;

/** Test oracle that checks the guarantees against what callers and targets observed. */
final class GuaranteeChecker {

  private final List<String> violations = new ArrayList<>();
  private final Map<String, CallerView> callers = new LinkedHashMap<>();
  private final Set<String> requestsAtTargets = new HashSet<>();
  private final Map<String, Integer> runsByKey = new HashMap<>();
  private final Map<String, Long> leavingSinceMs = new HashMap<>();
  private final Map<String, Long> versions = new HashMap<>();
  private final long maxLeavingMs;

  GuaranteeChecker(long maxLeavingMs) {
    this.maxLeavingMs = maxLeavingMs;
  }

  void requestSent(String requestId, boolean streamed) {
    callers.put(requestId, new CallerView(streamed));
  }

  /** Records that a caller's daemon has died, so that no final answer is expected. */
  void connectionLost(String requestId) {
    callers.get(requestId).finished = true;
  }

  void token(String requestId, String generation, String generatedFor, long sequence) {
    CallerView caller = callers.get(requestId);
    if (!generatedFor.equals(requestId)) {
      violations.add(requestId + " received a token generated for " + generatedFor);
    }
    if (!caller.generation.isEmpty() && !caller.generation.equals(generation)) {
      violations.add(requestId + " received tokens of two generations");
    }
    if (sequence != caller.lastSequence + 1) {
      violations.add(
          requestId + " received token " + sequence + " after token " + caller.lastSequence);
    }
    caller.generation = generation;
    caller.lastSequence = sequence;
  }

  void finished(String requestId, long expectedTokens) {
    CallerView caller = callers.get(requestId);
    if (caller.streamed && caller.lastSequence != expectedTokens) {
      violations.add(requestId + " finished after " + caller.lastSequence + " tokens");
    }
    recordAnswer(requestId, Verdict.RAN);
  }

  void failed(String requestId, Verdict verdict) {
    recordAnswer(requestId, verdict);
  }

  void reachedTarget(String requestId, String targetId, String key, boolean runs, long nowMs) {
    requestsAtTargets.add(requestId);
    if (runs && !key.isEmpty() && runsByKey.merge(key, 1, Integer::sum) > 1) {
      violations.add("key " + key + " ran twice");
    }
    long sinceMs = leavingSinceMs.getOrDefault(targetId, Long.MAX_VALUE);
    if (sinceMs != Long.MAX_VALUE && nowMs > sinceMs + maxLeavingMs) {
      violations.add(
          targetId
              + " received new work "
              + (nowMs - sinceMs)
              + " ms after it was listed as leaving");
    }
  }

  void listedLeaving(String targetId, long nowMs) {
    leavingSinceMs.putIfAbsent(targetId, nowMs);
  }

  void targetReplaced(String targetId) {
    leavingSinceMs.remove(targetId);
  }

  void sheetInUse(String daemon, long version) {
    long before = versions.getOrDefault(daemon, 0L);
    if (version < before) {
      violations.add(daemon + " replaced sheet version " + before + " by the older " + version);
    }
    versions.put(daemon, version);
  }

  void addViolation(String description) {
    violations.add(description);
  }

  /** Returns all violations; to be called after the simulation has become idle. */
  List<String> violations() {
    List<String> all = new ArrayList<>(violations);
    callers.forEach(
        (requestId, caller) -> {
          if (!caller.finished) {
            all.add(requestId + " never received a final answer");
          }
          if (caller.verdict == Verdict.NOT_RUN && requestsAtTargets.contains(requestId)) {
            all.add(requestId + " was reported as not-run but reached a target");
          }
        });
    return all;
  }

  int answeredCount() {
    return (int) callers.values().stream().filter(caller -> caller.verdict != null).count();
  }

  int finishedCount() {
    return (int) callers.values().stream().filter(c -> c.verdict == Verdict.RAN).count();
  }

  private void recordAnswer(String requestId, Verdict verdict) {
    CallerView caller = callers.get(requestId);
    if (caller.finished) {
      violations.add(requestId + " received a second final answer");
    }
    caller.finished = true;
    caller.verdict = verdict;
  }

  /** Observations of one caller. */
  private static final class CallerView {

    private final boolean streamed;
    private String generation = "";
    private long lastSequence;
    private boolean finished;
    private Verdict verdict;

    private CallerView(boolean streamed) {
      this.streamed = streamed;
    }
  }
}
