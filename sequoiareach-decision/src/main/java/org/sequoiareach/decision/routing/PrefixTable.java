package org.sequoiareach.decision.routing;

import java.util.Arrays;
import java.util.List;

/**
 * Remembers digests of prompt prefixes that one target is taken to have cached, in fixed memory.
 *
 * <p>The table is divided into sets of {@value #WAYS}; a digest belongs to one set, and a new one
 * replaces the oldest there. Each entry holds the epoch in which it was confirmed; every gap in the
 * target's events begins a new epoch, and entries confirmed before it are uncertain.
 */
final class PrefixTable {

  /** The number of digests in one set. */
  static final int WAYS = 4;

  /** The worth of a match that is uncertain, against one that is certain. */
  static final double UNCERTAIN_WORTH = 0.5;

  private static final int SETS = 1 << 9;
  private static final int NEVER_CONFIRMED = 0;

  private final long[] digests = new long[SETS * WAYS];
  private final int[] epochs = new int[SETS * WAYS];
  private final int[] ages = new int[SETS * WAYS];
  private int epoch = 1;
  private int clock;
  private long lastSequence = -1;

  /** Takes in an event of the target's cache; late and repeated ones are told by their number. */
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

  /** Forgets everything, as the target has started anew. */
  void clear() {
    Arrays.fill(ages, 0);
    lastSequence = -1;
  }

  /** Takes the prefixes of a prompt sent to the target as cached there, though uncertain. */
  void expect(List<Long> prefixes) {
    for (long digest : prefixes) {
      if (find(digest) < 0) {
        put(digest, NEVER_CONFIRMED);
      }
    }
  }

  /** Returns the worth of the longest prefix found, from 0 for none to 1 for the whole, certain. */
  double match(List<Long> prefixes) {
    for (int i = prefixes.size() - 1; i >= 0; i--) {
      int slot = find(prefixes.get(i));
      if (slot >= 0) {
        double share = (double) (i + 1) / prefixes.size();
        return epochs[slot] == epoch ? share : UNCERTAIN_WORTH * share;
      }
    }
    return 0;
  }

  private void put(long digest, int confirmedIn) {
    int slot = find(digest);
    if (slot < 0) {
      slot = oldestOf(firstOf(digest));
    }
    digests[slot] = digest;
    epochs[slot] = confirmedIn;
    clock++;
    ages[slot] = clock;
  }

  private void remove(long digest) {
    int slot = find(digest);
    if (slot >= 0) {
      ages[slot] = 0;
    }
  }

  /** Returns the slot of a digest, or -1; an age of 0 marks a free slot. */
  private int find(long digest) {
    int first = firstOf(digest);
    for (int slot = first; slot < first + WAYS; slot++) {
      if (ages[slot] != 0 && digests[slot] == digest) {
        return slot;
      }
    }
    return -1;
  }

  private int oldestOf(int first) {
    int oldest = first;
    for (int slot = first + 1; slot < first + WAYS; slot++) {
      oldest = ages[slot] < ages[oldest] ? slot : oldest;
    }
    return oldest;
  }

  private static int firstOf(long digest) {
    return (int) (Backoff.mix(digest) & (SETS - 1)) * WAYS;
  }
}
