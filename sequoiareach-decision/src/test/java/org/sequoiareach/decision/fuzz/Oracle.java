package org.sequoiareach.decision.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiareach.model.request.Verdict;

/** Knows only what callers and targets saw, and says which guarantees it contradicts. */
final class Oracle {

  private final List<String> violations = new ArrayList<>();
  private final Map<String, CallerView> callers = new LinkedHashMap<>();
  private final Set<String> seenByTargets = new HashSet<>();
  private final Map<String, Integer> runsByKey = new HashMap<>();
  private final Map<String, Long> leavingSinceMs = new HashMap<>();
  private final Map<String, Long> versions = new HashMap<>();
  private final long leavingBoundMs;

  Oracle(long leavingBoundMs) {
    this.leavingBoundMs = leavingBoundMs;
  }

  void asked(String requestId, boolean streamed) {
    callers.put(requestId, new CallerView(streamed));
  }

  /** A caller whose daemon died learns nothing more. */
  void cutOff(String requestId) {
    callers.get(requestId).over = true;
  }

  void token(String requestId, String generation, String madeFor, long sequence) {
    CallerView caller = callers.get(requestId);
    if (!madeFor.equals(requestId)) {
      violations.add(requestId + " received a token made for " + madeFor);
    }
    if (!caller.generation.isEmpty() && !caller.generation.equals(generation)) {
      violations.add(requestId + " received tokens of two generations");
    }
    if (sequence != caller.lastSequence + 1) {
      violations.add(requestId + " received " + sequence + " after " + caller.lastSequence);
    }
    caller.generation = generation;
    caller.lastSequence = sequence;
  }

  void finished(String requestId, long expectedTokens) {
    CallerView caller = callers.get(requestId);
    if (caller.streamed && caller.lastSequence != expectedTokens) {
      violations.add(requestId + " finished after " + caller.lastSequence + " tokens");
    }
    answer(requestId, Verdict.RAN);
  }

  void failed(String requestId, Verdict verdict) {
    answer(requestId, verdict);
  }

  void reachedTarget(String requestId, String targetId, String key, boolean run, long nowMs) {
    seenByTargets.add(requestId);
    if (run && !key.isEmpty() && runsByKey.merge(key, 1, Integer::sum) > 1) {
      violations.add("key " + key + " ran twice");
    }
    long sinceMs = leavingSinceMs.getOrDefault(targetId, Long.MAX_VALUE);
    if (sinceMs != Long.MAX_VALUE && nowMs > sinceMs + leavingBoundMs) {
      violations.add(
          targetId + " got new work " + (nowMs - sinceMs) + " ms after it was listed as leaving");
    }
  }

  void listedLeaving(String targetId, long nowMs) {
    leavingSinceMs.putIfAbsent(targetId, nowMs);
  }

  void back(String targetId) {
    leavingSinceMs.remove(targetId);
  }

  void sheetInUse(String daemon, long version) {
    long before = versions.getOrDefault(daemon, 0L);
    if (version < before) {
      violations.add(daemon + " went back from sheet " + before + " to " + version);
    }
    versions.put(daemon, version);
  }

  void violated(String what) {
    violations.add(what);
  }

  /** Returns all contradictions, once everything has come to rest. */
  List<String> violations() {
    List<String> all = new ArrayList<>(violations);
    callers.forEach(
        (requestId, caller) -> {
          if (!caller.over) {
            all.add(requestId + " never got a final answer");
          }
          if (caller.verdict == Verdict.NOT_RUN && seenByTargets.contains(requestId)) {
            all.add(requestId + " was told not-run but a target saw it");
          }
        });
    return all;
  }

  int answered() {
    return (int) callers.values().stream().filter(caller -> caller.verdict != null).count();
  }

  int finishedCount() {
    return (int) callers.values().stream().filter(c -> c.verdict == Verdict.RAN).count();
  }

  private void answer(String requestId, Verdict verdict) {
    CallerView caller = callers.get(requestId);
    if (caller.over) {
      violations.add(requestId + " got a second final answer");
    }
    caller.over = true;
    caller.verdict = verdict;
  }

  /** Holds what one caller saw. */
  private static final class CallerView {

    private final boolean streamed;
    private String generation = "";
    private long lastSequence;
    private boolean over;
    private Verdict verdict;

    private CallerView(boolean streamed) {
      this.streamed = streamed;
    }
  }
}
