package org.sequoiareach.standin.kv;

/**
 * Limits a rate with a token bucket whose capacity is 100 ms of requests, and at least 1.
 * Thread-safe.
 */
final class RateLimiter {

  private static final double BUCKET_SECONDS = 0.1;
  private static final double MS_PER_SECOND = 1_000;

  private double perSecond;
  private double tokens;
  private long filledAtMs;

  /** Sets the rate per second and refills the bucket; 0 means no limit. */
  synchronized void setRate(int perSecond, long nowMs) {
    this.perSecond = perSecond;
    tokens = capacity();
    filledAtMs = nowMs;
  }

  synchronized boolean tryAcquire(long nowMs) {
    if (perSecond == 0) {
      return true;
    }
    double added = (nowMs - filledAtMs) / MS_PER_SECOND * perSecond;
    tokens = Math.min(capacity(), tokens + added);
    filledAtMs = nowMs;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  private double capacity() {
    return Math.max(1, perSecond * BUCKET_SECONDS);
  }
}
