package org.sequoiareach.decision.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.TargetUse;

/**
 * Tracks the use of all targets: the calls of this daemon and those that other daemons report.
 *
 * <p>The latest report of a daemon is valid for {@value #REPORT_TTL_MS} ms. Not thread-safe:
 * confined to the control thread.
 */
public final class TargetUseTracker {

  /** Three times the longest interval between two reports, so that one report may be lost. */
  static final long REPORT_TTL_MS = 3_000;

  private final Map<String, CallUses> localCalls = new HashMap<>();
  private final Map<String, PeerReport> peerReports = new HashMap<>();
  private final Map<String, TargetUse> peerTotals = new HashMap<>();

  /**
   * Adds a call of this daemon to a target.
   *
   * @param callId the identifier of the call
   * @param targetId the identifier of its target
   * @param promptTokens the prompt tokens to prefill before the first event; 0 for a plain call
   * @param memoryTokens the tokens that the call is expected to hold in memory at its end; 0 for a
   *     plain call
   */
  public void add(String callId, String targetId, long promptTokens, long memoryTokens) {
    Check.hasText(callId, "callId");
    localCalls
        .computeIfAbsent(targetId, id -> new CallUses())
        .calls
        .put(callId, new TargetUse(1, promptTokens, memoryTokens));
  }

  /**
   * Marks the prompt of a call as prefilled.
   *
   * @param callId the identifier of the call
   * @param targetId the identifier of its target
   */
  public void markPromptRead(String callId, String targetId) {
    CallUses callUses = localCalls.get(targetId);
    if (callUses != null) {
      callUses.calls.computeIfPresent(callId, (id, use) -> new TargetUse(1, 0, use.memoryTokens()));
    }
  }

  /**
   * Removes a call of this daemon from a target.
   *
   * @param callId the identifier of the call
   * @param targetId the identifier of its target
   */
  public void remove(String callId, String targetId) {
    CallUses callUses = localCalls.get(targetId);
    if (callUses == null) {
      return;
    }
    callUses.calls.remove(callId);
    if (callUses.calls.isEmpty()) {
      localCalls.remove(targetId);
    }
  }

  /**
   * Replaces the reported use of targets by another daemon.
   *
   * @param nowMs the current time
   * @param daemonId the identifier of the other daemon
   * @param uses its use by target identifier; targets that are missing have none
   */
  public void updatePeer(long nowMs, String daemonId, Map<String, TargetUse> uses) {
    PeerReport previous = peerReports.put(daemonId, new PeerReport(nowMs, Map.copyOf(uses)));
    if (previous != null) {
      subtract(previous);
    }
    uses.forEach((targetId, use) -> peerTotals.merge(targetId, use, TargetUse::plus));
  }

  /**
   * Replaces the reported use of targets by all other daemons.
   *
   * @param nowMs the current time
   * @param daemonId the identifier of the daemon that added it up
   * @param uses the use by target identifier; targets that are missing have none
   */
  public void updateAllPeers(long nowMs, String daemonId, Map<String, TargetUse> uses) {
    peerReports.clear();
    peerTotals.clear();
    updatePeer(nowMs, daemonId, uses);
  }

  /**
   * Returns whether a report of another daemon is in force.
   *
   * @return false if nothing is known of the use by others
   */
  public boolean hasPeerReports() {
    return !peerReports.isEmpty();
  }

  /**
   * Adds up the use of targets by this daemon and by a part of the others.
   *
   * @param included selects the daemons whose reports are included
   * @return the use by target identifier, without targets that have none
   */
  public Map<String, TargetUse> sumOf(Predicate<String> included) {
    Map<String, TargetUse> sum = localUses();
    peerReports.forEach(
        (daemonId, report) -> {
          if (included.test(daemonId)) {
            report.uses.forEach((targetId, use) -> sum.merge(targetId, use, TargetUse::plus));
          }
        });
    return sum;
  }

  /**
   * Removes expired reports of other daemons.
   *
   * @param nowMs the current time
   */
  public void expirePeers(long nowMs) {
    List<PeerReport> expired =
        peerReports.values().stream()
            .filter(entry -> nowMs - entry.receivedAtMs > REPORT_TTL_MS)
            .toList();
    expired.forEach(this::subtract);
    peerReports.values().removeAll(expired);
  }

  /**
   * Returns the use of a target by all daemons, as far as known to this one.
   *
   * @param targetId the identifier of the target
   * @return the sum of this daemon's use and the reported use
   */
  public TargetUse useOf(String targetId) {
    return localUseOf(targetId).plus(peerTotals.getOrDefault(targetId, TargetUse.NONE));
  }

  /**
   * Returns the use of all targets by this daemon.
   *
   * @return the use by target identifier, without targets that have none
   */
  public Map<String, TargetUse> localUses() {
    Map<String, TargetUse> uses = new HashMap<>();
    localCalls.keySet().forEach(targetId -> uses.put(targetId, localUseOf(targetId)));
    return uses;
  }

  /** Subtracts the report of another daemon from the totals. */
  private void subtract(PeerReport entry) {
    entry.uses.forEach(
        (targetId, use) ->
            peerTotals.computeIfPresent(
                targetId, (id, sum) -> sum.equals(use) ? null : sum.minus(use)));
  }

  private TargetUse localUseOf(String targetId) {
    CallUses callUses = localCalls.get(targetId);
    return callUses == null
        ? TargetUse.NONE
        : callUses.calls.values().stream().reduce(TargetUse.NONE, TargetUse::plus);
  }

  private static final class CallUses {
    private final Map<String, TargetUse> calls = new HashMap<>();
  }

  private record PeerReport(long receivedAtMs, Map<String, TargetUse> uses) {}
}
