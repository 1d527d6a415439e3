package org.sequoiareach.decision.length;

/** Divides lengths in tokens into buckets: four to each power of two, single lengths below four. */
final class LengthBuckets {

  /** The greatest length told apart; longer ones count as this. */
  static final int MAX_TOKENS = 1 << 20;

  private static final int SUB_BUCKET_BITS = 2;
  private static final int SUB_BUCKETS = 1 << SUB_BUCKET_BITS;

  /** The number of buckets. */
  static final int COUNT = indexOf(MAX_TOKENS) + 1;

  private static final int[] LOWER = lowerBounds();

  private LengthBuckets() {}

  /** Returns the bucket of a length. */
  static int indexOf(int tokens) {
    int length = Math.max(0, Math.min(MAX_TOKENS, tokens));
    if (length < SUB_BUCKETS) {
      return length;
    }
    int exponent = 31 - Integer.numberOfLeadingZeros(length);
    int sub = length >> (exponent - SUB_BUCKET_BITS) & (SUB_BUCKETS - 1);
    return (exponent - SUB_BUCKET_BITS + 1) * SUB_BUCKETS + sub;
  }

  /** Returns the least length of a bucket; for {@link #COUNT}, the end of the last bucket. */
  static int lower(int index) {
    return LOWER[index];
  }

  private static int[] lowerBounds() {
    int[] lower = new int[COUNT + 1];
    for (int i = 0; i < COUNT; i++) {
      int octave = i / SUB_BUCKETS;
      int sub = i % SUB_BUCKETS;
      lower[i] = octave == 0 ? sub : SUB_BUCKETS + sub << octave - 1;
    }
    lower[COUNT] = MAX_TOKENS + 1;
    return lower;
  }
}
