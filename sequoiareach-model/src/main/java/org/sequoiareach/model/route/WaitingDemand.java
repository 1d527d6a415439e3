package org.sequoiareach.model.route;

import java.util.Map;
import java.util.TreeMap;

/**
 * The calls of one service that wait at one or more daemons for room at its targets. Immutable.
 *
 * @param byPriority the totals by priority; 0 is the most urgent
 */
public record WaitingDemand(Map<Integer, Total> byPriority) {

  /** The demand of a service without waiting calls. */
  public static final WaitingDemand NONE = new WaitingDemand(Map.of());

  /**
   * The waiting calls of one priority.
   *
   * @param calls the number of calls
   * @param memoryTokens the tokens that they are expected to keep in memory at their end
   */
  public record Total(int calls, long memoryTokens) {}

  /** Copies the map. */
  public WaitingDemand {
    byPriority = Map.copyOf(byPriority);
  }

  /**
   * Adds another demand.
   *
   * @param other the other demand
   * @return the sum
   */
  public WaitingDemand plus(WaitingDemand other) {
    Map<Integer, Total> sum = new TreeMap<>(byPriority);
    other.byPriority.forEach(
        (priority, total) ->
            sum.merge(
                priority,
                total,
                (a, b) -> new Total(a.calls + b.calls, a.memoryTokens + b.memoryTokens)));
    return new WaitingDemand(sum);
  }
}
