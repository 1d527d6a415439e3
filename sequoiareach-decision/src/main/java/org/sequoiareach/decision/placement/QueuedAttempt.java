package org.sequoiareach.decision.placement;

/**
 * Queued attempt with its position, which is fixed on arrival.
 *
 * <p>Attempts are ordered by rank, then tie-break, then sequence.
 *
 * @param attempt the attempt
 * @param rank the primary sort key; lower is served first
 * @param tieBreak the secondary sort key; lower is served first
 * @param arrivalMs the time at which the attempt was offered
 * @param sequence the arrival sequence number
 * @param requiredTokens the memory the attempt requires, in tokens
 */
record QueuedAttempt(
    PendingAttempt attempt,
    long rank,
    long tieBreak,
    long arrivalMs,
    long sequence,
    int requiredTokens)
    implements Comparable<QueuedAttempt> {

  @Override
  public int compareTo(QueuedAttempt other) {
    int byRank = Long.compare(rank, other.rank);
    if (byRank != 0) {
      return byRank;
    }
    int byTieBreak = Long.compare(tieBreak, other.tieBreak);
    return byTieBreak != 0 ? byTieBreak : Long.compare(sequence, other.sequence);
  }

  boolean isExpiredAt(long nowMs) {
    return attempt.deadlineMs() <= nowMs;
  }
}
