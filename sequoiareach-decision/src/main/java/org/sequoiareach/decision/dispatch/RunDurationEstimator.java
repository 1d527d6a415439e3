package org.sequoiareach.decision.dispatch;

/**
 * Estimates the duration of runs on the engines of one service from their prompt and expected
 * output lengths. Not thread-safe.
 *
 * <p>The prefill rate and the decode time per token are exponentially weighted averages over the
 * runs that were observed, so they follow engines that are fast, slow or loaded. Estimates are
 * averages, not bounds: output lengths are often far from the expected ones.
 */
final class RunDurationEstimator {

  /** The decode time per token until runs have ended. */
  private static final double INITIAL_MS_PER_TOKEN = 7;

  /** The weight of the initial decode time, in tokens: about one long generation. */
  private static final double INITIAL_OUTPUT_TOKENS = 1_000;

  /** The prefill rate until answers have started. */
  private static final double INITIAL_PREFILL_TOKENS_PER_MS = 7;

  /** The weight of the initial prefill rate, in tokens: a few long prompts. */
  private static final double INITIAL_PROMPT_TOKENS = 10_000;

  /** The weight that earlier runs keep with each new one; low enough to follow the load. */
  private static final double DECAY_FACTOR = 0.95;

  private double outputTokens = INITIAL_OUTPUT_TOKENS;
  private double decodeTimeMs = INITIAL_OUTPUT_TOKENS * INITIAL_MS_PER_TOKEN;
  private double promptTokens = INITIAL_PROMPT_TOKENS;
  private double prefillTimeMs = INITIAL_PROMPT_TOKENS / INITIAL_PREFILL_TOKENS_PER_MS;

  /** Records the time from sending a run to its first event, in milliseconds. */
  void recordPrefill(GenerationDemand demand, long durationMs) {
    promptTokens = DECAY_FACTOR * promptTokens + demand.promptTokens();
    prefillTimeMs = DECAY_FACTOR * prefillTimeMs + Math.max(0, durationMs);
  }

  /** Records the time from the first event of a completed run to its end, in milliseconds. */
  void recordDecode(GenerationDemand demand, long durationMs) {
    outputTokens = DECAY_FACTOR * outputTokens + demand.estimatedOutputTokens();
    decodeTimeMs = DECAY_FACTOR * decodeTimeMs + Math.max(0, durationMs);
  }

  /** Estimates the duration of a run, in milliseconds. */
  long estimateMs(GenerationDemand demand) {
    return estimatePrefillMs(demand) + estimateDecodeMs(demand);
  }

  /** Estimates the time from the first event of a run to its end, in milliseconds. */
  long estimateDecodeMs(GenerationDemand demand) {
    return decodeMs(demand.estimatedOutputTokens());
  }

  /** Returns the number of prompt tokens that engines prefill in a millisecond. */
  double prefillTokensPerMs() {
    return promptTokens / Math.max(1, prefillTimeMs);
  }

  private long estimatePrefillMs(GenerationDemand demand) {
    return Math.round(demand.promptTokens() / prefillTokensPerMs());
  }

  private long decodeMs(long output) {
    return Math.round(output * decodeTimeMs / outputTokens);
  }
}
