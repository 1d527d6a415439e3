package org.sequoiareach.decision.admission;

import java.util.function.IntPredicate;
import org.sequoiareach.model.route.WaitingDemand;

/**
 * The waiting calls of some priorities. Immutable.
 *
 * @param calls the number of calls
 * @param memoryTokens the memory that they are expected to hold, in tokens
 */
record Backlog(long calls, long memoryTokens) {

  static Backlog of(WaitingDemand demand, IntPredicate priorities) {
    long calls = 0;
    long tokens = 0;
    for (var entry : demand.byPriority().entrySet()) {
      if (priorities.test(entry.getKey())) {
        calls += entry.getValue().calls();
        tokens += entry.getValue().memoryTokens();
      }
    }
    return new Backlog(calls, tokens);
  }
}
