package org.sequoiareach.standin.engine;

import java.util.List;
import java.util.Map;

/**
 * Says what an engine stand-in saw.
 *
 * @param id the identity of the engine
 * @param accepted the generations created
 * @param refused the generations refused because the engine was full, leaving or told to refuse
 * @param generatedTokens the tokens generated
 * @param preemptions the generations pushed out of memory
 * @param stallMs the stall of all generations
 * @param prefixHitBlocks the prompt blocks found in the prefix cache
 * @param greatestFence the greatest fencing number seen
 * @param orders the orders taken, in turn
 * @param refusedOrders the orders refused because of their fencing number
 * @param generations the generations by identity
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

  /** Copies the parts. */
  public EngineRecord {
    orders = List.copyOf(orders);
    generations = Map.copyOf(generations);
  }
}
