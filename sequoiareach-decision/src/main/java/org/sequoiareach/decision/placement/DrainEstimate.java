package org.sequoiareach.decision.placement;

/** Predicts how long a target takes to free memory, from how long attempts have held theirs. */
final class DrainEstimate {

  private static final double PRIOR_RESIDENCE_MS = 10_000;
  private static final double WEIGHT_OF_LATEST = 0.1;
  private static final long LEAST_WAIT_MS = 100;
  private static final long LONGEST_WAIT_MS = 300_000;

  private double residenceMs = PRIOR_RESIDENCE_MS;

  /** Learns from an attempt that has held memory for some time. */
  void record(long heldMs) {
    residenceMs += WEIGHT_OF_LATEST * (Math.max(1, heldMs) - residenceMs);
  }

  /**
   * Predicts when a number of tokens will have been freed, taking what is held to turn over once in
   * a mean residence time.
   */
  long waitMs(double tokensToFree, double heldTokens) {
    if (tokensToFree <= 0) {
      return 0;
    }
    double wait = residenceMs * tokensToFree / Math.max(1, heldTokens);
    return (long) Math.min(LONGEST_WAIT_MS, Math.max(LEAST_WAIT_MS, wait));
  }
}
