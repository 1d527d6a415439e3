package org.sequoiareach.decision.routing;

import org.sequoiareach.model.Check;

/** Computes retry delays by exponential backoff with jitter. */
public final class Backoff {

  private static final long FIRST_MAX_DELAY_MS = 50;
  private static final long MAX_DELAY_MS = 5_000;
  private static final int MAX_DOUBLINGS = 16;

  private Backoff() {}

  /**
   * Returns the delay before a retry, drawn uniformly from the upper half of a range whose end
   * doubles with each retry.
   *
   * @param retry the number of the retry, starting at 1
   * @param draw a random number; equal inputs give equal results
   * @return the delay in milliseconds
   */
  public static long delayMs(int retry, long draw) {
    Check.inRange(retry, 1, Integer.MAX_VALUE, "retry");
    long doubled = FIRST_MAX_DELAY_MS << Math.min(MAX_DOUBLINGS, retry - 1);
    long maxDelayMs = Math.min(MAX_DELAY_MS, doubled);
    return uniformBetween(maxDelayMs / 2, maxDelayMs, draw);
  }

  /** Maps a random number to the closed range from {@code min} to {@code max}. */
  static long uniformBetween(long min, long max, long draw) {
    return min + Long.remainderUnsigned(mix(draw), max - min + 1);
  }

  /** Mixes the bits of a number with the SplitMix64 finalizer. */
  static long mix(long draw) {
    long z = (draw ^ (draw >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
