package org.sequoiareach.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** Takes orders, and checks their fencing numbers where the engine does so. Not thread-safe. */
final class EngineOrders {

  private final boolean checksFence;
  private final List<EngineOrder> taken = new ArrayList<>();
  private List<String> models;
  private long greatestFence;
  private long refusedCount;

  EngineOrders(List<String> models, boolean checksFence) {
    this.models = models;
    this.checksFence = checksFence;
  }

  boolean apply(EngineOrder order) {
    if (checksFence && order.fence() < greatestFence) {
      refusedCount++;
      return false;
    }
    greatestFence = Math.max(greatestFence, order.fence());
    taken.add(order);
    if (order.order().equals(EngineOrder.LOAD_MODEL) && !models.contains(order.model())) {
      List<String> more = new ArrayList<>(models);
      more.add(order.model());
      models = List.copyOf(more);
    }
    return true;
  }

  List<String> models() {
    return models;
  }

  List<EngineOrder> taken() {
    return taken;
  }

  long greatestFence() {
    return greatestFence;
  }

  long refusedCount() {
    return refusedCount;
  }
}
