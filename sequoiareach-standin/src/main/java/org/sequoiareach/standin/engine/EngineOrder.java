package org.sequoiareach.standin.engine;

import org.sequoiareach.model.Check;

/**
 * Represents an operator's order to an engine.
 *
 * @param order the kind of order: {@code load-model}, {@code load-adapter} or {@code change-role}
 * @param model the name of the model; null if not applicable
 * @param version the version of the model; null if not applicable
 * @param adapter the name of the adapter; null if not applicable
 * @param role the role of the engine; null if not applicable
 * @param fence the fencing token of the sender
 */
public record EngineOrder(
    String order, String model, String version, String adapter, String role, long fence) {

  static final String LOAD_MODEL = "load-model";
  static final String LOAD_ADAPTER = "load-adapter";
  static final String CHANGE_ROLE = "change-role";

  /** Validates the order. */
  public EngineOrder {
    Check.hasText(order, "order");
    switch (order) {
      case LOAD_MODEL -> Check.hasText(model, "model");
      case LOAD_ADAPTER -> Check.hasText(adapter, "adapter");
      case CHANGE_ROLE -> Check.hasText(role, "role");
      default -> throw new IllegalArgumentException("Unknown order '" + order + "'.");
    }
  }
}
