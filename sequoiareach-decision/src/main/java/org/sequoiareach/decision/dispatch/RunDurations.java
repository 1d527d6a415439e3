package org.sequoiareach.decision.dispatch;

/**
 * Learns how long generations take for the output that is expected of them. Not thread-safe.
 *
 * <p>Estimates are of the middle: lengths are often far off, and whoever needs certainty must not
 * rely on them.
 */
final class RunDurations {

  /** A token of an engine that shares its steps among few requests, until runs have ended. */
  private static final double INITIAL_MS_PER_TOKEN = 7;

  /** The weight of that first guess, in tokens: that of about one long generation. */
  private static final double INITIAL_TOKENS = 1_000;

  /** An engine among whose tokens a prompt is read takes in about so many tokens in a ms. */
  private static final double READ_TOKENS_PER_MS = 7;

  /** Of what was learned, each run leaves nineteen in twenty: enough to follow the load. */
  private static final double KEPT_SHARE = 0.95;

  private double tokens = INITIAL_TOKENS;
  private double generatingMs = INITIAL_TOKENS * INITIAL_MS_PER_TOKEN;

  /** Records a run that has ended. */
  void ended(GenerationDemand demand, long durationMs) {
    tokens = KEPT_SHARE * tokens + demand.likelyOutputTokens();
    generatingMs = KEPT_SHARE * generatingMs + Math.max(0, durationMs - readMs(demand));
  }

  /** Estimates the time of a run, in milliseconds. */
  long estimateMs(GenerationDemand demand) {
    return readMs(demand) + generateMs(demand.likelyOutputTokens());
  }

  /** Estimates the time of a run that becomes as long as it may, in milliseconds. */
  long longestMs(GenerationDemand demand) {
    return readMs(demand) + generateMs(demand.maxOutputTokens());
  }

  private long generateMs(long output) {
    return Math.round(output * generatingMs / tokens);
  }

  private static long readMs(GenerationDemand demand) {
    return Math.round(demand.promptTokens() / READ_TOKENS_PER_MS);
  }
}
