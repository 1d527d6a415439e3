package org.sequoiareach.daemon.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * The connections to one incarnation of a target. A connection leaves the pool as soon as this side
 * closes it, before the channel reports so. Not thread-safe; confined to the event loop.
 */
final class TargetConnectionPool {

  private final Deque<TargetConnection> idle = new ArrayDeque<>();
  private final Set<TargetConnection> open = new HashSet<>();
  private int opening;
  private boolean retired;

  /**
   * Takes the most recently used idle connection that has not refused a request, and closes those
   * that can no longer be used.
   */
  Optional<TargetConnection> acquireIdle(String requestId) {
    closeExpired(MonotonicClock.nowMs());
    Optional<TargetConnection> usable =
        idle.stream().filter(connection -> !connection.hasRefused(requestId)).findFirst();
    usable.ifPresent(idle::remove);
    return usable;
  }

  /**
   * Closes idle connections, the least recently used first, until another one may be opened.
   *
   * @return whether another connection may be opened
   */
  boolean makeRoom(int maxConnections) {
    while (size() >= maxConnections && !idle.isEmpty()) {
      idle.peekLast().close();
    }
    return size() < maxConnections;
  }

  int size() {
    return open.size() + opening;
  }

  void onOpening() {
    opening++;
  }

  void onOpened(TargetConnection connection) {
    opening--;
    open.add(connection);
  }

  void onOpenFailed() {
    opening--;
  }

  void release(TargetConnection connection) {
    if (retired) {
      connection.close();
      return;
    }
    idle.addFirst(connection);
  }

  /** Removes a connection that was closed, or that the caller closes now. */
  void remove(TargetConnection connection) {
    open.remove(connection);
    idle.remove(connection);
  }

  /** Closes the idle connections whose time for reuse has passed. */
  void closeExpired(long nowMs) {
    idle.stream()
        .filter(connection -> !connection.isReusableAt(nowMs))
        .toList()
        .forEach(TargetConnection::close);
  }

  /** Closes the idle connections now, and the others as soon as their responses end. */
  void retire() {
    retired = true;
    idle.stream().toList().forEach(TargetConnection::close);
  }

  boolean isEmpty() {
    return open.isEmpty() && opening == 0;
  }
}
