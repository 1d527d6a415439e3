package org.sequoiareach.standin.vms;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import org.sequoiareach.model.platform.VmEntry;

/**
 * Stores the VM list with its past snapshots, so that it can be read with a lag. The caller passes
 * in the current time in milliseconds. Thread-safe.
 */
final class LaggedVmList {

  private static final int MAX_SNAPSHOTS = 4_096;

  private final TreeMap<String, VmEntry> current = new TreeMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private long changes;

  LaggedVmList(List<VmEntry> entries) {
    entries.forEach(entry -> current.put(entry.id(), entry));
    snapshots.add(new Snapshot(Long.MIN_VALUE, List.copyOf(current.values())));
  }

  synchronized void put(VmEntry entry, long nowMs) {
    current.put(entry.id(), entry);
    addSnapshot(nowMs);
  }

  synchronized boolean remove(String id, long nowMs) {
    if (current.remove(id) == null) {
      return false;
    }
    addSnapshot(nowMs);
    return true;
  }

  synchronized List<VmEntry> current() {
    return List.copyOf(current.values());
  }

  synchronized long changes() {
    return changes;
  }

  /** Returns the list as of the given time. */
  synchronized List<VmEntry> at(long timeMs) {
    List<VmEntry> found = snapshots.getFirst().entries();
    for (Snapshot snapshot : snapshots) {
      if (snapshot.sinceMs() > timeMs) {
        break;
      }
      found = snapshot.entries();
    }
    return found;
  }

  private void addSnapshot(long nowMs) {
    changes++;
    snapshots.add(new Snapshot(nowMs, new ArrayList<>(current.values())));
    if (snapshots.size() > MAX_SNAPSHOTS) {
      snapshots.removeFirst();
    }
  }

  private record Snapshot(long sinceMs, List<VmEntry> entries) {}
}
