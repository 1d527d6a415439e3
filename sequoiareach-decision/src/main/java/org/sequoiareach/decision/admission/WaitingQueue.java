package org.sequoiareach.decision.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sequoiareach.model.route.WaitingDemand;

/**
 * The calls of one service that wait at this daemon. Not thread-safe.
 *
 * <p>They are ordered by urgency, then those that can still be on time before late ones, then by
 * tenants in turn, then by arrival. The bounds keep a daemon of a few hundred megabytes alive under
 * a flood of prompts.
 */
public final class WaitingQueue {

  /** The highest number of waiting calls, far above a burst of seconds at one daemon. */
  static final int MAX_CALLS = 512;

  /** The highest number of waiting prompt tokens, about 8 MB of text. */
  static final long MAX_PROMPT_TOKENS = 2_000_000;

  /** The highest number of tenants whose turns are remembered. */
  private static final int MAX_TENANTS = 4_096;

  private final Map<String, WaitingCall> calls = new LinkedHashMap<>();
  private final Map<String, Long> servedTurns = new HashMap<>();
  private long promptTokens;
  private long turn;

  /**
   * Adds a call.
   *
   * @param call the call
   * @return the call to refuse instead, if there are too many; may be the added one
   */
  public Optional<WaitingCall> add(WaitingCall call) {
    remove(call.callId());
    calls.put(call.callId(), call);
    promptTokens += call.promptTokens();
    if (calls.size() <= MAX_CALLS && promptTokens <= MAX_PROMPT_TOKENS) {
      return Optional.empty();
    }
    Optional<WaitingCall> last =
        calls.values().stream()
            .max(
                Comparator.comparingInt(WaitingCall::priority)
                    .thenComparingLong(WaitingCall::arrivedMs));
    last.ifPresent(evicted -> remove(evicted.callId()));
    return last;
  }

  /**
   * Removes a call.
   *
   * @param callId the identifier of the call
   * @return whether it waited
   */
  public boolean remove(String callId) {
    WaitingCall removed = calls.remove(callId);
    if (removed == null) {
      return false;
    }
    promptTokens -= removed.promptTokens();
    return true;
  }

  /**
   * Records that a call of a tenant was sent, so that other tenants are next.
   *
   * @param tenant the tenant
   */
  public void recordServed(String tenant) {
    if (servedTurns.size() >= MAX_TENANTS) {
      servedTurns.clear();
    }
    turn++;
    servedTurns.put(tenant, turn);
  }

  /**
   * Returns the waiting calls.
   *
   * @return the calls by arrival
   */
  public Collection<WaitingCall> all() {
    return List.copyOf(calls.values());
  }

  /**
   * Returns whether calls wait that go before a new one.
   *
   * @param call the new call
   * @return true if one of the same urgency and size class, or a more urgent one, waits
   */
  public boolean goesBefore(WaitingCall call) {
    return calls.values().stream()
        .anyMatch(
            waiting ->
                waiting.priority() < call.priority()
                    || waiting.priority() == call.priority()
                        && waiting.shortRun() == call.shortRun());
  }

  /**
   * Returns the calls in the order in which they are to be sent.
   *
   * @param nowMs the current time
   * @return the ordered calls
   */
  public List<WaitingCall> inOrder(long nowMs) {
    Map<Integer, List<WaitingCall>> groups = new TreeMap<>();
    for (WaitingCall call : calls.values()) {
      int group = 2 * call.priority() + (call.isLate(nowMs) ? 1 : 0);
      groups.computeIfAbsent(group, key -> new ArrayList<>()).add(call);
    }
    List<WaitingCall> ordered = new ArrayList<>();
    groups.values().forEach(group -> ordered.addAll(takeTurns(group)));
    return ordered;
  }

  /** Orders calls of one urgency so that tenants take turns, the longest unserved one first. */
  private List<WaitingCall> takeTurns(List<WaitingCall> group) {
    Map<String, Deque<WaitingCall>> byTenant = new LinkedHashMap<>();
    group.stream()
        .sorted(Comparator.comparingLong(WaitingCall::arrivedMs))
        .forEach(
            call -> byTenant.computeIfAbsent(call.tenant(), key -> new ArrayDeque<>()).add(call));
    List<Deque<WaitingCall>> tenants = new ArrayList<>(byTenant.values());
    tenants.sort(
        Comparator.comparingLong(waiting -> servedTurns.getOrDefault(waiting.peek().tenant(), 0L)));
    List<WaitingCall> ordered = new ArrayList<>();
    while (ordered.size() < group.size()) {
      tenants.stream()
          .filter(waiting -> !waiting.isEmpty())
          .forEach(waiting -> ordered.add(waiting.remove()));
    }
    return ordered;
  }

  /**
   * Returns what waits, as told to other daemons.
   *
   * @return the demand by priority
   */
  public WaitingDemand demand() {
    Map<Integer, WaitingDemand.Total> totals = new TreeMap<>();
    for (WaitingCall call : calls.values()) {
      totals.merge(
          call.priority(),
          new WaitingDemand.Total(1, call.memoryTokens()),
          (a, b) ->
              new WaitingDemand.Total(a.calls() + b.calls(), a.memoryTokens() + b.memoryTokens()));
    }
    return new WaitingDemand(totals);
  }

  /**
   * Returns whether no call waits.
   *
   * @return true if the queue is empty
   */
  public boolean isEmpty() {
    return calls.isEmpty();
  }

  /**
   * Returns the number of waiting calls.
   *
   * @return the number of calls
   */
  public int size() {
    return calls.size();
  }
}
