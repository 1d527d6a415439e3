package org.sequoiareach.decision.length;

/**
 * Maps lengths in tokens to logarithmic buckets: four per power of two, and one per length below
 * four.
 */
final class LengthBuckets {

  /** The maximum length distinguished; greater lengths are clamped to it. */
  static final int MAX_TOKENS = 1 << 20;

  private static final int SUB_BUCKET_BITS = 2;
  private static final int SUB_BUCKETS = 1 << SUB_BUCKET_BITS;

  /** The number of buckets. */
  static final int COUNT = indexOf(MAX_TOKENS) + 1;

  private static final int[] LOWER_BOUNDS = lowerBounds();

  private LengthBuckets() {}

  /** Returns the index of the bucket that contains a length. */
  static int indexOf(int tokens) {
    int length = Math.max(0, Math.min(MAX_TOKENS, tokens));
    if (length < SUB_BUCKETS) {
      return length;
    }
    int exponent = 31 - Integer.numberOfLeadingZeros(length);
    int sub = length >> (exponent - SUB_BUCKET_BITS) & (SUB_BUCKETS - 1);
    return (exponent - SUB_BUCKET_BITS + 1) * SUB_BUCKETS + sub;
  }

  /**
   * Returns the smallest length in a bucket. For {@link #COUNT}, returns the exclusive end of the
   * last bucket.
   */
  static int lowerBound(int index) {
    return LOWER_BOUNDS[index];
  }

  private static int[] lowerBounds() {
    int[] lowerBounds = new int[COUNT + 1];
    for (int i = 0; i < COUNT; i++) {
      int octave = i / SUB_BUCKETS;
      int sub = i % SUB_BUCKETS;
      lowerBounds[i] = octave == 0 ? sub : SUB_BUCKETS + sub << octave - 1;
    }
    lowerBounds[COUNT] = MAX_TOKENS + 1;
    return lowerBounds;
  }
}
