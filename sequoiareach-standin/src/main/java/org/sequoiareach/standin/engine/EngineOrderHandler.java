package org.sequoiareach.standin.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * Applies orders to an engine and rejects those with an outdated fencing token, if so configured.
 * Not thread-safe.
 */
final class EngineOrderHandler {

  private final boolean checksFence;
  private final List<EngineOrder> accepted = new ArrayList<>();
  private List<String> models;
  private long greatestFence;
  private long refusedCount;

  EngineOrderHandler(List<String> models, boolean checksFence) {
    this.models = models;
    this.checksFence = checksFence;
  }

  boolean apply(EngineOrder order) {
    if (checksFence && order.fence() < greatestFence) {
      refusedCount++;
      return false;
    }
    greatestFence = Math.max(greatestFence, order.fence());
    accepted.add(order);
    if (order.order().equals(EngineOrder.LOAD_MODEL) && !models.contains(order.model())) {
      List<String> extended = new ArrayList<>(models);
      extended.add(order.model());
      models = List.copyOf(extended);
    }
    return true;
  }

  List<String> models() {
    return models;
  }

  List<EngineOrder> accepted() {
    return accepted;
  }

  long greatestFence() {
    return greatestFence;
  }

  long refusedCount() {
    return refusedCount;
  }
}
