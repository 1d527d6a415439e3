package org.sequoiareach.decision.admission;

/**
 * Estimates for how long runs hold memory, as an average weighted by the tokens they hold. The
 * memory in use divided by this time is the rate at which room is released (Little's law), so the
 * runs of one daemon suffice to estimate the rate of the whole fleet. Not thread-safe.
 */
public final class ReleaseEstimator {

  /** Bounds of the estimate: a step of an engine, and longer than any deadline seen. */
  private static final double MIN_RUN_MS = 50;

  private static final double MAX_RUN_MS = 60_000;

  /** The weight that earlier runs keep with each new one: about the last twenty count. */
  private static final double DECAY_FACTOR = 0.95;

  private double tokens;
  private double tokenTimeMs;

  /**
   * Records the end of a run.
   *
   * @param memoryTokens the memory that it held
   * @param durationMs for how long
   */
  public void recordRun(long memoryTokens, long durationMs) {
    tokens = DECAY_FACTOR * tokens + memoryTokens;
    tokenTimeMs = DECAY_FACTOR * tokenTimeMs + (double) memoryTokens * Math.max(0, durationMs);
  }

  /**
   * Returns the mean time for which memory is held.
   *
   * @param initialMs the time assumed until a run has ended
   * @return the time in milliseconds
   */
  public double runMs(long initialMs) {
    double observedMs = tokens > 0 ? tokenTimeMs / tokens : initialMs;
    return Math.min(Math.max(observedMs, MIN_RUN_MS), MAX_RUN_MS);
  }
}
