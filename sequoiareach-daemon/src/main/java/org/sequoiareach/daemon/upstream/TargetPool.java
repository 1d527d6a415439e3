package org.sequoiareach.daemon.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.sequoiareach.store.time.MonotonicClock;

/** Holds the connections to one incarnation of a target. Used on the traffic thread alone. */
final class TargetPool {

  private final Deque<TargetConnection> idle = new ArrayDeque<>();
  private final Set<TargetConnection> open = new HashSet<>();
  private int opening;
  private boolean dropped;

  /** Takes the connection that was used last, if one can still be used. */
  Optional<TargetConnection> takeIdle() {
    long nowMs = MonotonicClock.nowMs();
    while (!idle.isEmpty()) {
      TargetConnection connection = idle.pollFirst();
      if (connection.isUsableAt(nowMs)) {
        return Optional.of(connection);
      }
      connection.close();
    }
    return Optional.empty();
  }

  int size() {
    return open.size() + opening;
  }

  void startOpening() {
    opening++;
  }

  void opened(TargetConnection connection) {
    opening--;
    open.add(connection);
  }

  void openFailed() {
    opening--;
  }

  void giveBack(TargetConnection connection) {
    if (dropped) {
      connection.close();
      return;
    }
    idle.addFirst(connection);
  }

  void closed(TargetConnection connection) {
    open.remove(connection);
    idle.remove(connection);
  }

  /** Closes connections that are idle for too long. */
  void closeExpired(long nowMs) {
    idle.stream()
        .filter(connection -> !connection.isUsableAt(nowMs))
        .toList()
        .forEach(TargetConnection::close);
  }

  /** Closes idle connections now, and the others when their answers are whole. */
  void drop() {
    dropped = true;
    idle.stream().toList().forEach(TargetConnection::close);
  }

  boolean isEmpty() {
    return open.isEmpty() && opening == 0;
  }
}
