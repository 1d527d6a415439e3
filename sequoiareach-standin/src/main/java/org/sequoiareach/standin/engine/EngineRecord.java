package org.sequoiareach.standin.engine;

import java.util.List;
import java.util.Map;

/**
 * Records what a simulated engine has done since it was created.
 *
 * @param id the identifier of the engine
 * @param accepted the number of generations accepted
 * @param refused the number of generations rejected with status 503
 * @param generatedTokens the number of tokens generated
 * @param preemptions the number of preemptions
 * @param stallMs the total stall time of all generations in milliseconds
 * @param prefixHitBlocks the number of prompt blocks found in the prefix cache
 * @param greatestFence the greatest fencing token received
 * @param orders the accepted orders, in order of arrival
 * @param refusedOrders the number of orders rejected because of an outdated fencing token
 * @param generations the generations by identifier
 */
public record EngineRecord(
    String id,
    long accepted,
    long refused,
    long generatedTokens,
    long preemptions,
    double stallMs,
    long prefixHitBlocks,
    long greatestFence,
    List<EngineOrder> orders,
    long refusedOrders,
    Map<String, GenerationRecord> generations) {

  /** Copies the collections. */
  public EngineRecord {
    orders = List.copyOf(orders);
    generations = Map.copyOf(generations);
  }
}
