package org.sequoiareach.standin.vms;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import org.sequoiareach.model.platform.VmEntry;

/**
 * Keeps the VM list and the states it had, so that it can be shown late. Takes the time with each
 * call. Thread-safe.
 */
final class LaggedVmList {

  private static final int MAX_STATES = 4_096;

  private final TreeMap<String, VmEntry> present = new TreeMap<>();
  private final Deque<State> states = new ArrayDeque<>();
  private long changes;

  LaggedVmList(List<VmEntry> entries) {
    entries.forEach(entry -> present.put(entry.id(), entry));
    states.add(new State(Long.MIN_VALUE, List.copyOf(present.values())));
  }

  synchronized void put(VmEntry entry, long nowMs) {
    present.put(entry.id(), entry);
    addState(nowMs);
  }

  synchronized boolean remove(String id, long nowMs) {
    if (present.remove(id) == null) {
      return false;
    }
    addState(nowMs);
    return true;
  }

  synchronized List<VmEntry> present() {
    return List.copyOf(present.values());
  }

  synchronized long changes() {
    return changes;
  }

  /** Returns the list as it was at a time. */
  synchronized List<VmEntry> at(long timeMs) {
    List<VmEntry> found = states.getFirst().entries();
    for (State state : states) {
      if (state.sinceMs() > timeMs) {
        break;
      }
      found = state.entries();
    }
    return found;
  }

  private void addState(long nowMs) {
    changes++;
    states.add(new State(nowMs, new ArrayList<>(present.values())));
    if (states.size() > MAX_STATES) {
      states.removeFirst();
    }
  }

  private record State(long sinceMs, List<VmEntry> entries) {}
}
