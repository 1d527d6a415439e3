package org.sequoiareach.decision.length;

/**
 * Counts, per bucket of lengths, the answers that reached the bucket and those that ended in it,
 * with exponential decay.
 */
final class DecayingLengthHistogram {

  private static final int DECAY_STEPS_PER_HALF_LIFE = 32;

  private final float[] reached = new float[LengthBuckets.COUNT];
  private final float[] ended = new float[LengthBuckets.COUNT];
  private final long halfLifeMs;
  private long decayedMs;
  private long changes;

  DecayingLengthHistogram(long halfLifeMs, long nowMs) {
    this.halfLifeMs = halfLifeMs;
    decayedMs = nowMs;
  }

  /** Returns the number of changes so far, including decay steps. */
  long changes() {
    return changes;
  }

  /**
   * Counts an answer that survived the buckets from {@code fromBucket} to {@code toBucket},
   * exclusive.
   */
  void addSurvival(long nowMs, int fromBucket, int toBucket) {
    decay(nowMs);
    for (int i = fromBucket; i < toBucket; i++) {
      reached[i]++;
    }
    changes++;
  }

  /** Counts an answer that ended in a bucket. */
  void addCompletion(long nowMs, int bucket) {
    decay(nowMs);
    reached[bucket]++;
    ended[bucket]++;
    changes++;
  }

  /**
   * Blends the hazard rates of this histogram into those of its parent. In each bucket, the own
   * hazard is weighted by the number of answers observed there and that of the parent by {@code
   * parentWeight}.
   */
  void blendInto(long nowMs, double[] hazards, double parentWeight) {
    decay(nowMs);
    for (int i = 0; i < hazards.length; i++) {
      hazards[i] = (ended[i] + parentWeight * hazards[i]) / (reached[i] + parentWeight);
    }
  }

  private void decay(long nowMs) {
    long step = Math.max(1, halfLifeMs / DECAY_STEPS_PER_HALF_LIFE);
    if (nowMs - decayedMs < step) {
      return;
    }
    float factor = (float) Math.pow(0.5, (double) (nowMs - decayedMs) / halfLifeMs);
    for (int i = 0; i < reached.length; i++) {
      reached[i] *= factor;
      ended[i] *= factor;
    }
    decayedMs = nowMs;
    changes++;
  }
}
