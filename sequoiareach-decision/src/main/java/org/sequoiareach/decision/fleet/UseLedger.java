package org.sequoiareach.decision.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.TargetUse;

/**
 * Keeps the accounts of all targets: the calls of this daemon, and what the others tell of theirs.
 *
 * <p>What a daemon told last counts for {@value #TOLD_FOR_MS} ms. Not thread-safe: it belongs to
 * the control thread.
 */
public final class UseLedger {

  /** Three of the longest pauses between two tellings: one may be lost. */
  private static final long TOLD_FOR_MS = 3_000;

  private final Map<String, Account> own = new HashMap<>();
  private final Map<String, Told> told = new HashMap<>();
  private final Map<String, TargetUse> toldSums = new HashMap<>();

  /**
   * Enters a call.
   *
   * @param callId the call
   * @param targetId its target
   * @param promptTokens the tokens to be read before its first event; 0 for a plain call
   * @param memoryTokens the tokens it is expected to hold at its end; 0 for a plain call
   */
  public void enter(String callId, String targetId, long promptTokens, long memoryTokens) {
    Check.hasText(callId, "callId");
    own.computeIfAbsent(targetId, id -> new Account())
        .calls
        .put(callId, new TargetUse(1, promptTokens, memoryTokens));
  }

  /**
   * Records that the prompt of a call was read.
   *
   * @param callId the call
   * @param targetId its target
   */
  public void promptRead(String callId, String targetId) {
    Account account = own.get(targetId);
    if (account != null) {
      account.calls.computeIfPresent(callId, (id, use) -> new TargetUse(1, 0, use.memoryTokens()));
    }
  }

  /**
   * Takes a call out.
   *
   * @param callId the call
   * @param targetId its target
   */
  public void leave(String callId, String targetId) {
    Account account = own.get(targetId);
    if (account == null) {
      return;
    }
    account.calls.remove(callId);
    if (account.calls.isEmpty()) {
      own.remove(targetId);
    }
  }

  /**
   * Records what another daemon tells of its calls.
   *
   * @param nowMs the time now
   * @param daemonId the daemon
   * @param uses its use by target; targets that are left out have none
   */
  public void tell(long nowMs, String daemonId, Map<String, TargetUse> uses) {
    Told before = told.put(daemonId, new Told(nowMs, Map.copyOf(uses)));
    if (before != null) {
      forget(before);
    }
    uses.forEach((targetId, use) -> toldSums.merge(targetId, use, TargetUse::plus));
  }

  /**
   * Forgets what was told too long ago.
   *
   * @param nowMs the time now
   */
  public void expire(long nowMs) {
    List<Told> expired =
        told.values().stream().filter(entry -> nowMs - entry.atMs > TOLD_FOR_MS).toList();
    expired.forEach(this::forget);
    told.values().removeAll(expired);
  }

  /**
   * Returns the use of a target by all daemons, as far as it is known here.
   *
   * @param targetId the target
   * @return the use
   */
  public TargetUse useOf(String targetId) {
    return ownUseOf(targetId).plus(toldSums.getOrDefault(targetId, TargetUse.NONE));
  }

  /**
   * Returns the use of all targets by this daemon.
   *
   * @return the use by target, without targets that have none
   */
  public Map<String, TargetUse> ownUses() {
    Map<String, TargetUse> uses = new HashMap<>();
    own.keySet().forEach(targetId -> uses.put(targetId, ownUseOf(targetId)));
    return uses;
  }

  /** Takes what a daemon told out of the sums. */
  private void forget(Told entry) {
    entry.uses.forEach(
        (targetId, use) ->
            toldSums.computeIfPresent(
                targetId, (id, sum) -> sum.equals(use) ? null : sum.minus(use)));
  }

  private TargetUse ownUseOf(String targetId) {
    Account account = own.get(targetId);
    return account == null
        ? TargetUse.NONE
        : account.calls.values().stream().reduce(TargetUse.NONE, TargetUse::plus);
  }

  private static final class Account {
    private final Map<String, TargetUse> calls = new HashMap<>();
  }

  private record Told(long atMs, Map<String, TargetUse> uses) {}
}
