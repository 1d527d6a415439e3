package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * Describes the model engines of a service.
 *
 * @param slots the most requests that one engine runs at once
 * @param memoryTokens the tokens that fit in one engine's memory
 * @param bytesPerToken the bytes that a token takes when its memory is copied
 * @param linkMbps the bandwidth of an engine's link for copies, in megabits a second
 * @param canMoveRuns whether a run can be copied to another engine and go on there
 * @param tokensPerEvent the most tokens that one event of a stream holds
 */
public record EngineTraits(
    int slots,
    long memoryTokens,
    long bytesPerToken,
    double linkMbps,
    boolean canMoveRuns,
    int tokensPerEvent) {

  /** Checks the parts. */
  public EngineTraits {
    Check.inRange(slots, 1, Integer.MAX_VALUE, "slots");
    Check.inRange(memoryTokens, 1, Long.MAX_VALUE, "memoryTokens");
    Check.inRange(bytesPerToken, 0, Long.MAX_VALUE, "bytesPerToken");
    Check.inRange(tokensPerEvent, 1, Integer.MAX_VALUE, "tokensPerEvent");
  }
}
