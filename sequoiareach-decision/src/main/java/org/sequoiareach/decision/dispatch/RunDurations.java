package org.sequoiareach.decision.dispatch;

/**
 * Learns how long generations take for the output that is expected of them. Not thread-safe.
 *
 * <p>Estimates are of the middle: lengths are often far off, and whoever needs certainty must not
 * rely on them.
 */
final class RunDurations {

  /** A token of an engine that shares its steps among few requests, until any run has ended. */
  private static final double INITIAL_MS_PER_TOKEN = 7;

  /** One run in twenty: enough to follow the load within seconds. */
  private static final double LEARNING_SHARE = 0.05;

  private double msPerToken = INITIAL_MS_PER_TOKEN;

  /** Records a run that has ended. */
  void ended(GenerationDemand demand, long durationMs) {
    double observed = (double) durationMs / outputOf(demand);
    msPerToken += LEARNING_SHARE * (observed - msPerToken);
  }

  /** Estimates the time of a run, in milliseconds. */
  long estimateMs(GenerationDemand demand) {
    return Math.round(msPerToken * outputOf(demand));
  }

  private static long outputOf(GenerationDemand demand) {
    return Math.max(1, demand.expectedMemoryTokens() - demand.promptTokens());
  }
}
