package org.sequoiareach.decision.placement;

/**
 * Holds an attempt that waits, with its fixed place in the order of service.
 *
 * @param attempt the attempt
 * @param level the first part of the order; lower is served first
 * @param tieBreak the second part of the order; lower is served first
 * @param arrivalMs when it was offered
 * @param sequence the order of arrival
 * @param needTokens the memory it asks for, in tokens
 */
record QueuedAttempt(
    PendingAttempt attempt,
    long level,
    long tieBreak,
    long arrivalMs,
    long sequence,
    int needTokens)
    implements Comparable<QueuedAttempt> {

  @Override
  public int compareTo(QueuedAttempt other) {
    int byLevel = Long.compare(level, other.level);
    if (byLevel != 0) {
      return byLevel;
    }
    int byTieBreak = Long.compare(tieBreak, other.tieBreak);
    return byTieBreak != 0 ? byTieBreak : Long.compare(sequence, other.sequence);
  }

  boolean expiredAt(long nowMs) {
    return attempt.deadlineMs() <= nowMs;
  }
}
