package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the calls that arrive while a starting daemon loads its routing sheet and targets, which
 * usually takes a fraction of a second. Refusing them would use up the retries of their callers,
 * and all daemons start together after a loss of power. Not thread-safe.
 */
final class UnroutedCalls {

  /** Bounds the memory of held requests; further ones are refused at once. */
  static final int MAX_CALLS = 256;

  /** The maximum time that a call is held. */
  static final long MAX_HOLD_MS = 1_000;

  /** The share of a caller's remaining time for which its call is held; the rest is for a retry. */
  private static final double HOLD_SHARE = 0.3;

  private final Map<String, HeldCall> calls = new LinkedHashMap<>();

  /** Holds a call, unless too many are held; returns whether it does. */
  boolean offer(DispatchEvent.CallArrived event) {
    if (calls.size() >= MAX_CALLS) {
      return false;
    }
    long remainingMs = Math.max(0, event.profile().deadlineMs() - event.nowMs());
    long holdMs = Math.min(MAX_HOLD_MS, Math.round(HOLD_SHARE * remainingMs));
    calls.put(event.callId(), new HeldCall(event, event.nowMs() + holdMs));
    return true;
  }

  /** Removes a call whose caller has left. */
  void remove(String callId) {
    calls.remove(callId);
  }

  /** Removes and returns all calls, in the order of their arrival. */
  List<DispatchEvent.CallArrived> takeAll() {
    return take(Long.MAX_VALUE);
  }

  /** Removes and returns the calls that must not be held any longer. */
  List<DispatchEvent.CallArrived> takeExpired(long nowMs) {
    return take(nowMs);
  }

  private List<DispatchEvent.CallArrived> take(long untilMs) {
    List<DispatchEvent.CallArrived> taken = new ArrayList<>();
    Iterator<HeldCall> held = calls.values().iterator();
    while (held.hasNext()) {
      HeldCall call = held.next();
      if (call.holdUntilMs <= untilMs) {
        taken.add(call.arrival);
        held.remove();
      }
    }
    return taken;
  }

  private record HeldCall(DispatchEvent.CallArrived arrival, long holdUntilMs) {}
}
