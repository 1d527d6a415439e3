package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * Total of the calls that one or more daemons have in progress at a target.
 *
 * @param calls the number of calls in progress
 * @param waitingPromptTokens the prompt tokens of the calls that have not received an event yet
 * @param memoryTokens the number of tokens that the calls are expected to keep in memory at their
 *     end
 */
public record TargetUse(int calls, long waitingPromptTokens, long memoryTokens) {

  /** The use of a target without calls. */
  public static final TargetUse NONE = new TargetUse(0, 0, 0);

  /** Validates the components. */
  public TargetUse {
    Check.inRange(calls, 0, Integer.MAX_VALUE, "calls");
    Check.inRange(waitingPromptTokens, 0, Long.MAX_VALUE, "waitingPromptTokens");
    Check.inRange(memoryTokens, 0, Long.MAX_VALUE, "memoryTokens");
  }

  /**
   * Subtracts a use that is contained in this one.
   *
   * @param other the use to subtract
   * @return the difference
   */
  public TargetUse minus(TargetUse other) {
    return new TargetUse(
        calls - other.calls,
        waitingPromptTokens - other.waitingPromptTokens,
        memoryTokens - other.memoryTokens);
  }

  /**
   * Adds another use.
   *
   * @param other the use to add
   * @return the sum
   */
  public TargetUse plus(TargetUse other) {
    return new TargetUse(
        calls + other.calls,
        waitingPromptTokens + other.waitingPromptTokens,
        memoryTokens + other.memoryTokens);
  }
}
