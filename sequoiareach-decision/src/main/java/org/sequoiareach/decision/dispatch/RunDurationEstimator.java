package org.sequoiareach.decision.dispatch;

/**
 * Estimates the duration of runs from their prompt and expected output lengths. Not thread-safe.
 *
 * <p>The decode time per token is an exponentially weighted average over the runs that ended.
 * Estimates are averages, not bounds: output lengths are often far from the expected ones.
 */
final class RunDurationEstimator {

  /** The decode time per token of a lightly loaded engine, used until runs have ended. */
  private static final double INITIAL_MS_PER_TOKEN = 7;

  /** The weight of the initial value, in tokens: about one long generation. */
  private static final double INITIAL_WEIGHT_TOKENS = 1_000;

  /** The prefill rate of an engine that decodes other runs at the same time. */
  private static final double PREFILL_TOKENS_PER_MS = 7;

  /** The weight that earlier runs keep with each new one; low enough to follow the load. */
  private static final double DECAY_FACTOR = 0.95;

  private double tokens = INITIAL_WEIGHT_TOKENS;
  private double decodeTimeMs = INITIAL_WEIGHT_TOKENS * INITIAL_MS_PER_TOKEN;

  /** Records the duration of a completed run, in milliseconds. */
  void record(GenerationDemand demand, long durationMs) {
    tokens = DECAY_FACTOR * tokens + demand.estimatedOutputTokens();
    decodeTimeMs = DECAY_FACTOR * decodeTimeMs + Math.max(0, durationMs - prefillMs(demand));
  }

  /** Estimates the duration of a run, in milliseconds. */
  long estimateMs(GenerationDemand demand) {
    return prefillMs(demand) + decodeMs(demand.estimatedOutputTokens());
  }

  /** Estimates the duration of a run with the maximum output, in milliseconds. */
  long estimateMaxMs(GenerationDemand demand) {
    return prefillMs(demand) + decodeMs(demand.maxOutputTokens());
  }

  private long decodeMs(long output) {
    return Math.round(output * decodeTimeMs / tokens);
  }

  private static long prefillMs(GenerationDemand demand) {
    return Math.round(demand.promptTokens() / PREFILL_TOKENS_PER_MS);
  }
}
