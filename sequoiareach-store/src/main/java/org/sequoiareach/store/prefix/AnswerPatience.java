package org.sequoiareach.store.prefix;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides how late the answer to a watch may be before it counts as lost, from how late answers
 * were lately: a slow store is given more time, so that it is not asked again while it answers. Not
 * thread-safe.
 */
final class AnswerPatience {

  /** Allows for a slow store, which takes fifty times the usual few milliseconds. */
  static final long MAX_MS = 1_000;

  private static final int DELAYS = 4;

  /** The usual factor between the slowest of the last answers and the patience. */
  private static final double DELAY_FACTOR = 3;

  /** The factor beyond {@link #BOUNDED_MULTIPLE} of the shortest patience. */
  private static final double SLOW_DELAY_FACTOR = 1.5;

  /** Only a store so slow that no patience keeps the caller's bound is given more than this. */
  private static final int BOUNDED_MULTIPLE = 2;

  private final Deque<Long> delaysMs = new ArrayDeque<>();
  private long minMs = MAX_MS;

  /**
   * Sets the shortest patience.
   *
   * @param patienceMs the patience with a store that answers at once, in milliseconds; twice of it
   *     still keeps the caller's bound
   */
  void setMinMs(long patienceMs) {
    minMs = patienceMs;
  }

  /**
   * Records an answer.
   *
   * @param delayMs how long it took, without the time for which the store was asked to wait
   */
  void record(long delayMs) {
    if (delaysMs.size() == DELAYS) {
      delaysMs.remove();
    }
    delaysMs.add(delayMs);
  }

  /**
   * Returns until when an answer is awaited.
   *
   * @param dueMs when the store is to answer at the latest
   * @return the deadline on the same clock
   */
  long deadlineMs(long dueMs) {
    if (delaysMs.isEmpty()) {
      return dueMs + MAX_MS;
    }
    long slowestMs = delaysMs.stream().mapToLong(Long::longValue).max().orElseThrow();
    double usualMs = Math.min(DELAY_FACTOR * slowestMs, BOUNDED_MULTIPLE * minMs);
    double patienceMs = Math.max(minMs, Math.max(usualMs, SLOW_DELAY_FACTOR * slowestMs));
    return dueMs + Math.min(MAX_MS, Math.round(patienceMs));
  }
}
