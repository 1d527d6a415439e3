package org.sequoiareach.decision.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Bounded priority queue of the attempts that wait for one target, in {@link QueuedAttempt} order.
 */
final class AdmissionQueue {

  private final int capacity;
  private final Map<String, QueuedAttempt> byId = new HashMap<>();
  private final TreeSet<QueuedAttempt> order = new TreeSet<>();
  private long requiredTokens;

  AdmissionQueue(int capacity) {
    this.capacity = capacity;
  }

  boolean isFull() {
    return order.size() >= capacity;
  }

  boolean isEmpty() {
    return order.isEmpty();
  }

  int size() {
    return order.size();
  }

  boolean contains(String attemptId) {
    return byId.containsKey(attemptId);
  }

  /** Returns the memory required by all queued attempts, in tokens. */
  long requiredTokens() {
    return requiredTokens;
  }

  /** Returns the memory required by the attempts ahead of the given one, in tokens. */
  long requiredTokensBefore(QueuedAttempt queued) {
    long sum = 0;
    for (QueuedAttempt earlier : order.headSet(queued)) {
      sum += earlier.requiredTokens();
    }
    return sum;
  }

  /** Returns the number of attempts ahead of the given one. */
  int countBefore(QueuedAttempt queued) {
    return order.headSet(queued).size();
  }

  /** Returns the head of the queue. */
  Optional<QueuedAttempt> first() {
    return order.isEmpty() ? Optional.empty() : Optional.of(order.first());
  }

  /** Returns the tail of the queue. */
  Optional<QueuedAttempt> last() {
    return order.isEmpty() ? Optional.empty() : Optional.of(order.last());
  }

  void add(QueuedAttempt queued) {
    byId.put(queued.attempt().attemptId(), queued);
    order.add(queued);
    requiredTokens += queued.requiredTokens();
  }

  boolean remove(String attemptId) {
    QueuedAttempt queued = byId.remove(attemptId);
    if (queued == null) {
      return false;
    }
    order.remove(queued);
    requiredTokens -= queued.requiredTokens();
    return true;
  }

  /** Returns a copy in queue order; the queue may change while the copy is iterated. */
  List<QueuedAttempt> snapshot() {
    return new ArrayList<>(order);
  }

  /** Returns at most {@code limit} attempts from the head of the queue. */
  List<QueuedAttempt> head(int limit) {
    List<QueuedAttempt> first = new ArrayList<>(Math.min(limit, order.size()));
    for (QueuedAttempt queued : order) {
      if (first.size() == limit) {
        break;
      }
      first.add(queued);
    }
    return first;
  }

  /** Removes and returns the attempts whose deadline has passed. */
  List<QueuedAttempt> removeExpired(long nowMs) {
    List<QueuedAttempt> expired = new ArrayList<>();
    for (Iterator<QueuedAttempt> it = order.iterator(); it.hasNext(); ) {
      QueuedAttempt queued = it.next();
      if (queued.isExpiredAt(nowMs)) {
        it.remove();
        byId.remove(queued.attempt().attemptId());
        requiredTokens -= queued.requiredTokens();
        expired.add(queued);
      }
    }
    return expired;
  }

  /** Removes and returns all attempts, in queue order. */
  List<PendingAttempt> removeAll() {
    final List<PendingAttempt> all = order.stream().map(QueuedAttempt::attempt).toList();
    order.clear();
    byId.clear();
    requiredTokens = 0;
    return all;
  }
}
