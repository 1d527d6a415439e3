package org.sequoiareach.decision.routing;

import java.util.Arrays;
import java.util.List;

/**
 * Set-associative table of the digests of prompt prefixes that one target is likely to have cached.
 *
 * <p>Its memory is fixed. Each digest maps to one set of {@value #WAYS} slots, and a new digest
 * replaces the oldest entry of its set. Each entry records the epoch in which it was last
 * confirmed. A gap in the cache events of the target starts a new epoch, and entries of earlier
 * epochs are unconfirmed.
 */
final class TargetPrefixCache {

  /** The number of slots per set. */
  static final int WAYS = 4;

  /** The weight of an unconfirmed match relative to a confirmed one. */
  static final double UNCONFIRMED_MATCH_WEIGHT = 0.5;

  private static final int SETS = 1 << 9;
  private static final int NEVER_CONFIRMED = 0;

  private final long[] digests = new long[SETS * WAYS];
  private final int[] epochs = new int[SETS * WAYS];
  private final int[] writeTimes = new int[SETS * WAYS];
  private int epoch = 1;
  private int writeClock;
  private long lastSequence = -1;

  /**
   * Applies a cache event. Late and duplicate events are detected by their sequence number and
   * ignored.
   */
  void apply(long sequence, List<Long> stored, List<Long> removed) {
    if (sequence <= lastSequence) {
      return;
    }
    if (lastSequence >= 0 && sequence > lastSequence + 1) {
      epoch++;
    }
    lastSequence = sequence;
    removed.forEach(this::remove);
    stored.forEach(digest -> put(digest, epoch));
  }

  /** Removes all entries because the target has restarted. */
  void clear() {
    Arrays.fill(writeTimes, 0);
    lastSequence = -1;
  }

  /** Adds the prefixes of a prompt that was sent to the target as unconfirmed entries. */
  void addUnconfirmed(List<Long> prefixes) {
    for (long digest : prefixes) {
      if (find(digest) < 0) {
        put(digest, NEVER_CONFIRMED);
      }
    }
  }

  /**
   * Returns the matched fraction of the prefixes, from 0 for none to 1 for all; an unconfirmed
   * match is weighted by {@link #UNCONFIRMED_MATCH_WEIGHT}.
   */
  double matchScore(List<Long> prefixes) {
    for (int i = prefixes.size() - 1; i >= 0; i--) {
      int slot = find(prefixes.get(i));
      if (slot >= 0) {
        double share = (double) (i + 1) / prefixes.size();
        return epochs[slot] == epoch ? share : UNCONFIRMED_MATCH_WEIGHT * share;
      }
    }
    return 0;
  }

  private void put(long digest, int confirmedEpoch) {
    int slot = find(digest);
    if (slot < 0) {
      slot = oldestSlot(firstSlot(digest));
    }
    digests[slot] = digest;
    epochs[slot] = confirmedEpoch;
    writeClock++;
    writeTimes[slot] = writeClock;
  }

  private void remove(long digest) {
    int slot = find(digest);
    if (slot >= 0) {
      writeTimes[slot] = 0;
    }
  }

  /** Returns the slot of a digest, or -1 if absent. A write time of 0 marks a free slot. */
  private int find(long digest) {
    int first = firstSlot(digest);
    for (int slot = first; slot < first + WAYS; slot++) {
      if (writeTimes[slot] != 0 && digests[slot] == digest) {
        return slot;
      }
    }
    return -1;
  }

  private int oldestSlot(int first) {
    int oldest = first;
    for (int slot = first + 1; slot < first + WAYS; slot++) {
      oldest = writeTimes[slot] < writeTimes[oldest] ? slot : oldest;
    }
    return oldest;
  }

  private static int firstSlot(long digest) {
    return (int) (Backoff.mix(digest) & (SETS - 1)) * WAYS;
  }
}
