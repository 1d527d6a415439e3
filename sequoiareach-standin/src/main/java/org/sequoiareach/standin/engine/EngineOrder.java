package org.sequoiareach.standin.engine;

import org.sequoiareach.model.Check;

/**
 * Is an order to an engine.
 *
 * @param order what to do: {@code load-model}, {@code load-adapter} or {@code change-role}
 * @param model the model; null where none is meant
 * @param version the version of the model; null where none is meant
 * @param adapter the adapter; null where none is meant
 * @param role the role; null where none is meant
 * @param fence the fencing number of the sender
 */
public record EngineOrder(
    String order, String model, String version, String adapter, String role, long fence) {

  static final String LOAD_MODEL = "load-model";
  static final String LOAD_ADAPTER = "load-adapter";
  static final String CHANGE_ROLE = "change-role";

  /** Checks the parts. */
  public EngineOrder {
    Check.hasText(order, "order");
    switch (order) {
      case LOAD_MODEL -> Check.hasText(model, "model");
      case LOAD_ADAPTER -> Check.hasText(adapter, "adapter");
      case CHANGE_ROLE -> Check.hasText(role, "role");
      default -> throw new IllegalArgumentException("'" + order + "' is no order.");
    }
  }
}
