package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * Properties of the model engines of a service.
 *
 * @param slots the maximum number of requests that one engine runs concurrently
 * @param memoryTokens the capacity of one engine's memory, in tokens
 * @param bytesPerToken the number of bytes per token when a run's memory is copied to another
 *     engine
 * @param linkMbps the bandwidth for copies between engines, in megabits per second
 * @param canMoveRuns whether a run can be copied to another engine and continue there
 * @param tokensPerEvent the maximum number of tokens in one event of a stream
 */
public record EngineTraits(
    int slots,
    long memoryTokens,
    long bytesPerToken,
    double linkMbps,
    boolean canMoveRuns,
    int tokensPerEvent) {

  /** Validates the components. */
  public EngineTraits {
    Check.inRange(slots, 1, Integer.MAX_VALUE, "slots");
    Check.inRange(memoryTokens, 1, Long.MAX_VALUE, "memoryTokens");
    Check.inRange(bytesPerToken, 0, Long.MAX_VALUE, "bytesPerToken");
    Check.inRange(tokensPerEvent, 1, Integer.MAX_VALUE, "tokensPerEvent");
  }
}
