package org.sequoiareach.decision.routing;

import org.sequoiareach.model.Check;

/** Computes jittered waiting times before retries. */
public final class Backoff {

  private static final long FIRST_MS = 50;
  private static final long LONGEST_MS = 5_000;
  private static final int MOST_DOUBLINGS = 16;

  private Backoff() {}

  /**
   * Returns how long to wait before a retry: doubled with each, drawn from half of it to the whole.
   *
   * @param retry the number of the retry, from 1
   * @param draw a number drawn at random; equal inputs give equal results
   * @return milliseconds to wait
   */
  public static long delayMs(int retry, long draw) {
    Check.inRange(retry, 1, Integer.MAX_VALUE, "retry");
    long doubled = FIRST_MS << Math.min(MOST_DOUBLINGS, retry - 1);
    long longest = Math.min(LONGEST_MS, doubled);
    return between(longest / 2, longest, draw);
  }

  /** Returns a number from a closed range, drawn by a hash of the draw. */
  static long between(long least, long most, long draw) {
    return least + Long.remainderUnsigned(mix(draw), most - least + 1);
  }

  /** Spreads a draw over all bits (the finalizer of SplitMix64). */
  static long mix(long draw) {
    long z = (draw ^ (draw >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
