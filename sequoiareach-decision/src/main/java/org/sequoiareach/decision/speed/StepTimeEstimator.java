package org.sequoiareach.decision.speed;

/**
 * Estimates the time of decode steps and prefills on the average engine of one service. Not
 * thread-safe.
 *
 * <p>While a prompt is prefilled, an engine works on a part of it between two steps. A step
 * therefore takes a time for decoding plus, in proportion to the share of time with prefills, a
 * time for such a part. A weighted least-squares fit over recent observations learns both.
 */
public final class StepTimeEstimator {

  /** The decode time of a step until runs were observed, in milliseconds. */
  private static final double INITIAL_STEP_MS = 7;

  /** The time of the part of a prompt between two steps until runs were observed. */
  private static final double INITIAL_CHUNK_MS = 7;

  /** The weight of the initial times with and without prefill; a few observations outweigh it. */
  private static final double INITIAL_WEIGHT = 2;

  /** The weight that earlier observations keep with each new one. */
  private static final double DECAY_FACTOR = 0.98;

  /**
   * The relative increase of the decode time with each run. It is too small beside the differences
   * between engines to be learned from few observations.
   */
  private static final double RUN_COST_RATIO = 0.017;

  private static final double INITIAL_PREFILL_TOKENS_PER_MS = 7;

  /** The weight of the initial prefill rate, in tokens: a few long prompts. */
  private static final double INITIAL_PROMPT_TOKENS = 10_000;

  private double weight;
  private double shareSum;
  private double shareSquareSum;
  private double timeSum;
  private double timeShareSum;
  private double promptTokens = INITIAL_PROMPT_TOKENS;
  private double prefillTimeMs = INITIAL_PROMPT_TOKENS / INITIAL_PREFILL_TOKENS_PER_MS;

  /**
   * Records the mean time of the decode steps of a run.
   *
   * @param load the load of the engine meanwhile
   * @param stepMs the time of a step, in milliseconds, divided by the engine's relative slowness
   */
  void recordStep(EngineLoad load, double stepMs) {
    final double timeMs = stepMs / runFactor(load);
    weight = DECAY_FACTOR * weight + 1;
    shareSum = DECAY_FACTOR * shareSum + load.prefillShare();
    shareSquareSum = DECAY_FACTOR * shareSquareSum + load.prefillShare() * load.prefillShare();
    timeSum = DECAY_FACTOR * timeSum + timeMs;
    timeShareSum = DECAY_FACTOR * timeShareSum + timeMs * load.prefillShare();
  }

  /**
   * Records a prefill.
   *
   * @param tokens the prompt tokens that were waiting, with the own ones
   * @param durationMs the time to the first event, divided by the engine's relative slowness
   */
  void recordPrefill(double tokens, double durationMs) {
    promptTokens = DECAY_FACTOR * promptTokens + tokens;
    prefillTimeMs = DECAY_FACTOR * prefillTimeMs + durationMs;
  }

  /**
   * Estimates the time of a step on the average engine.
   *
   * @param load the load of the engine
   * @return the time in milliseconds
   */
  public double stepMs(EngineLoad load) {
    // The initial times are two observations: one without and one with prefill all the time.
    double w = weight + 2 * INITIAL_WEIGHT;
    double p = shareSum + INITIAL_WEIGHT;
    double pp = shareSquareSum + INITIAL_WEIGHT;
    double x = timeSum + INITIAL_WEIGHT * (2 * INITIAL_STEP_MS + INITIAL_CHUNK_MS);
    double xp = timeShareSum + INITIAL_WEIGHT * (INITIAL_STEP_MS + INITIAL_CHUNK_MS);
    double chunkMs = Math.max(0, (w * xp - p * x) / (w * pp - p * p));
    double decodeMs = Math.max(0, (x - chunkMs * p) / w);
    return Math.max(1, decodeMs + chunkMs * load.prefillShare()) * runFactor(load);
  }

  /**
   * Estimates the time to the first event on the average engine.
   *
   * @param tokens the prompt tokens to prefill, with those that wait before
   * @return the time in milliseconds
   */
  public double prefillMs(double tokens) {
    return tokens * prefillTimeMs / promptTokens;
  }

  private static double runFactor(EngineLoad load) {
    return 1 + RUN_COST_RATIO * load.runs();
  }
}
