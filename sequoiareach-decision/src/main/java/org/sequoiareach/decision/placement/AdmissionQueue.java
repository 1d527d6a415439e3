package org.sequoiareach.decision.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/** Holds the attempts that wait for one target, bounded and in the order of service. */
final class AdmissionQueue {

  private final int bound;
  private final Map<String, QueuedAttempt> byId = new HashMap<>();
  private final TreeSet<QueuedAttempt> order = new TreeSet<>();
  private long needTokens;

  AdmissionQueue(int bound) {
    this.bound = bound;
  }

  boolean isFull() {
    return order.size() >= bound;
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

  /** Returns the memory that all waiting attempts ask for, in tokens. */
  long needTokens() {
    return needTokens;
  }

  /** Returns the memory asked for by the attempts that are served before the given one. */
  long needTokensBefore(QueuedAttempt queued) {
    long sum = 0;
    for (QueuedAttempt earlier : order.headSet(queued)) {
      sum += earlier.needTokens();
    }
    return sum;
  }

  /** Returns how many attempts are served before the given one. */
  int countBefore(QueuedAttempt queued) {
    return order.headSet(queued).size();
  }

  /** Returns the attempt that is served first. */
  Optional<QueuedAttempt> first() {
    return order.isEmpty() ? Optional.empty() : Optional.of(order.first());
  }

  /** Returns the attempt that is served last. */
  Optional<QueuedAttempt> last() {
    return order.isEmpty() ? Optional.empty() : Optional.of(order.last());
  }

  void add(QueuedAttempt queued) {
    byId.put(queued.attempt().attemptId(), queued);
    order.add(queued);
    needTokens += queued.needTokens();
  }

  boolean remove(String attemptId) {
    QueuedAttempt queued = byId.remove(attemptId);
    if (queued == null) {
      return false;
    }
    order.remove(queued);
    needTokens -= queued.needTokens();
    return true;
  }

  /** Returns the attempts in the order of service; it may be used while the queue changes. */
  List<QueuedAttempt> inOrder() {
    return new ArrayList<>(order);
  }

  /** Returns the attempts that are served first, at most the given number of them. */
  List<QueuedAttempt> firstOnes(int most) {
    List<QueuedAttempt> first = new ArrayList<>(Math.min(most, order.size()));
    for (QueuedAttempt queued : order) {
      if (first.size() == most) {
        break;
      }
      first.add(queued);
    }
    return first;
  }

  /** Takes out the attempts whose deadline has passed. */
  List<QueuedAttempt> removeExpired(long nowMs) {
    List<QueuedAttempt> expired = new ArrayList<>();
    for (Iterator<QueuedAttempt> it = order.iterator(); it.hasNext(); ) {
      QueuedAttempt queued = it.next();
      if (queued.expiredAt(nowMs)) {
        it.remove();
        byId.remove(queued.attempt().attemptId());
        needTokens -= queued.needTokens();
        expired.add(queued);
      }
    }
    return expired;
  }

  /** Empties the queue. */
  List<PendingAttempt> withdraw() {
    final List<PendingAttempt> all = order.stream().map(QueuedAttempt::attempt).toList();
    order.clear();
    byId.clear();
    needTokens = 0;
    return all;
  }
}
