package org.sequoiareach.decision.placement;

/**
 * Estimates the time until a target releases a given amount of memory.
 *
 * <p>The estimate is based on the mean time for which past attempts held memory (their residence
 * time), weighted by the amount held, because a waiting attempt needs an amount of memory and not a
 * number of finished attempts. Old observations decay exponentially.
 */
final class MemoryReleaseEstimator {

  private static final double PRIOR_RESIDENCE_MS = 10_000;
  private static final double PRIOR_TOKENS = 1_000;
  private static final double DECAY_PER_OBSERVATION = 0.95;
  private static final long MIN_WAIT_MS = 100;
  private static final long MAX_WAIT_MS = 300_000;

  private double tokenMs = PRIOR_RESIDENCE_MS * PRIOR_TOKENS;
  private double tokens = PRIOR_TOKENS;

  /** Records the memory held by an attempt and for how long. */
  void record(long heldMs, double heldTokens) {
    tokenMs = DECAY_PER_OBSERVATION * tokenMs + Math.max(1, heldMs) * heldTokens;
    tokens = DECAY_PER_OBSERVATION * tokens + heldTokens;
  }

  /**
   * Estimates the time until the given number of tokens is released, in milliseconds, assuming that
   * all held memory turns over once per mean residence time.
   */
  long waitMs(double tokensToFree, double heldTokens) {
    if (tokensToFree <= 0) {
      return 0;
    }
    double residenceMs = tokenMs / Math.max(1, tokens);
    double wait = residenceMs * tokensToFree / Math.max(1, heldTokens);
    return (long) Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, wait));
  }
}
