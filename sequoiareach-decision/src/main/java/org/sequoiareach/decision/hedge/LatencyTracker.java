package org.sequoiareach.decision.hedge;

import java.util.OptionalLong;

/**
 * Learns the distribution of the recent answer times of one service in a histogram of fixed size,
 * whose counts decay with time. Not thread-safe.
 */
public final class LatencyTracker {

  /** The time after which an answer counts half. */
  static final long HALF_LIFE_MS = 20_000;

  /** The sum of decayed counts below which no quantile is stated. */
  static final double MIN_WEIGHT = 8;

  /** The ratio of the bounds of a bucket, and so the relative error of a quantile. */
  private static final double BUCKET_RATIO = 1.1;

  /** Enough buckets for answer times of up to 90 s. */
  private static final int BUCKETS = 120;

  private static final long DECAY_INTERVAL_MS = 500;

  private final double[] weights = new double[BUCKETS];
  private double total;
  private long decayedAtMs = Long.MIN_VALUE;

  /**
   * Records the time of one answer.
   *
   * @param nowMs the current time
   * @param answerMs the time from sending the request to the answer, in milliseconds
   */
  public void record(long nowMs, long answerMs) {
    decay(nowMs);
    weights[bucketOf(answerMs)]++;
    total++;
  }

  /**
   * Returns a quantile of the recent answer times.
   *
   * @param nowMs the current time
   * @param quantile the share of answers that take no longer, between 0 and 1
   * @return the time in milliseconds; empty if too few answers are known
   */
  public OptionalLong quantileMs(long nowMs, double quantile) {
    decay(nowMs);
    if (total < MIN_WEIGHT) {
      return OptionalLong.empty();
    }
    double sum = 0;
    int bucket = 0;
    while (bucket < BUCKETS - 1) {
      sum += weights[bucket];
      if (sum >= quantile * total) {
        break;
      }
      bucket++;
    }
    return OptionalLong.of((long) Math.ceil(Math.pow(BUCKET_RATIO, bucket)));
  }

  private void decay(long nowMs) {
    if (decayedAtMs == Long.MIN_VALUE) {
      decayedAtMs = nowMs;
    }
    long elapsedMs = nowMs - decayedAtMs;
    if (elapsedMs < DECAY_INTERVAL_MS) {
      return;
    }
    decayedAtMs = nowMs;
    double factor = Math.pow(0.5, (double) elapsedMs / HALF_LIFE_MS);
    total = 0;
    for (int i = 0; i < BUCKETS; i++) {
      weights[i] *= factor;
      total += weights[i];
    }
  }

  /** Returns the first bucket whose upper bound is not below a time. */
  private static int bucketOf(long answerMs) {
    double exact = Math.log(Math.max(1, answerMs)) / Math.log(BUCKET_RATIO);
    return (int) Math.min(BUCKETS - 1, Math.ceil(exact - 1e-9));
  }
}
