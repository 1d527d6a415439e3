package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * Sums up the calls that one daemon, or several, have at a target.
 *
 * @param calls the calls in progress
 * @param waitingPromptTokens prompt tokens of those calls that have had no event yet
 * @param memoryTokens the tokens that the calls are expected to hold at their end
 */
public record TargetUse(int calls, long waitingPromptTokens, long memoryTokens) {

  /** The use of a target without calls. */
  public static final TargetUse NONE = new TargetUse(0, 0, 0);

  /** Checks the parts. */
  public TargetUse {
    Check.inRange(calls, 0, Integer.MAX_VALUE, "calls");
    Check.inRange(waitingPromptTokens, 0, Long.MAX_VALUE, "waitingPromptTokens");
    Check.inRange(memoryTokens, 0, Long.MAX_VALUE, "memoryTokens");
  }

  /**
   * Takes away a use that was added before.
   *
   * @param other the other use
   * @return the difference
   */
  public TargetUse minus(TargetUse other) {
    return new TargetUse(
        calls - other.calls,
        waitingPromptTokens - other.waitingPromptTokens,
        memoryTokens - other.memoryTokens);
  }

  /**
   * Adds the use of others.
   *
   * @param other the other use
   * @return the sum
   */
  public TargetUse plus(TargetUse other) {
    return new TargetUse(
        calls + other.calls,
        waitingPromptTokens + other.waitingPromptTokens,
        memoryTokens + other.memoryTokens);
  }
}
