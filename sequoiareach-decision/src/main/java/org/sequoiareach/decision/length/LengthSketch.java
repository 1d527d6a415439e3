package org.sequoiareach.decision.length;

/** Counts, for each bucket, the answers that reached it and those that ended in it, decayed. */
final class LengthSketch {

  private static final int DECAY_STEPS_PER_HALF_LIFE = 32;

  private final float[] reached = new float[LengthBuckets.COUNT];
  private final float[] ended = new float[LengthBuckets.COUNT];
  private final long halfLifeMs;
  private long decayedMs;
  private long changes;

  LengthSketch(long halfLifeMs, long nowMs) {
    this.halfLifeMs = halfLifeMs;
    decayedMs = nowMs;
  }

  /** Returns how often this sketch has changed. */
  long changes() {
    return changes;
  }

  /** Counts an answer as outliving the buckets of a range. */
  void addOutlived(long nowMs, int fromBucket, int toBucket) {
    decay(nowMs);
    for (int i = fromBucket; i < toBucket; i++) {
      reached[i]++;
    }
    changes++;
  }

  /** Counts an answer as ending in a bucket. */
  void addEnded(long nowMs, int bucket) {
    decay(nowMs);
    reached[bucket]++;
    ended[bucket]++;
    changes++;
  }

  /**
   * Replaces the hazards of a parent by those of this sketch, each weighted by the answers that it
   * rests on against the given weight of the parent's.
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
