package org.sequoiareach.decision.placement;

/**
 * Predicts how long a target takes to free memory, from how long attempts have held theirs.
 *
 * <p>The mean time is weighted by the memory held, as that is what a waiting attempt needs.
 */
final class DrainEstimate {

  private static final double PRIOR_RESIDENCE_MS = 10_000;
  private static final double PRIOR_TOKENS = 1_000;
  private static final double DECAY = 0.95;
  private static final long LEAST_WAIT_MS = 100;
  private static final long LONGEST_WAIT_MS = 300_000;

  private double tokenMs = PRIOR_RESIDENCE_MS * PRIOR_TOKENS;
  private double tokens = PRIOR_TOKENS;

  /** Learns from an attempt that has held memory for some time. */
  void record(long heldMs, double heldTokens) {
    tokenMs = DECAY * tokenMs + Math.max(1, heldMs) * heldTokens;
    tokens = DECAY * tokens + heldTokens;
  }

  /**
   * Predicts when a number of tokens will have been freed, taking what is held to turn over once in
   * a mean residence time.
   */
  long waitMs(double tokensToFree, double heldTokens) {
    if (tokensToFree <= 0) {
      return 0;
    }
    double residenceMs = tokenMs / Math.max(1, tokens);
    double wait = residenceMs * tokensToFree / Math.max(1, heldTokens);
    return (long) Math.min(LONGEST_WAIT_MS, Math.max(LEAST_WAIT_MS, wait));
  }
}
