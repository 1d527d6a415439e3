package org.sequoiareach.decision.admission;

import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.TargetUse;

/**
 * The load of one engine, as far as known to this daemon. Immutable.
 *
 * @param use the calls of all daemons
 * @param slots the number of calls that the engine runs concurrently
 * @param memoryTokens the capacity of its memory, in tokens
 */
public record EngineLoad(TargetUse use, int slots, long memoryTokens) {

  /** Validates the components. */
  public EngineLoad {
    Check.notNull(use, "use");
    Check.inRange(slots, 0, Integer.MAX_VALUE, "slots");
    Check.inRange(memoryTokens, 1, Long.MAX_VALUE, "memoryTokens");
  }
}
