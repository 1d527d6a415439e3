package org.sequoiareach.decision.dispatch;

import org.sequoiareach.model.Check;

/**
 * Identifies the memory copy from which a run continues on another engine.
 *
 * @param holderAddress the address of the engine that the run was copied from
 * @param handle the handle of the copy
 */
public record Continuation(String holderAddress, String handle) {

  /** Validates the components. */
  public Continuation {
    Check.hasText(holderAddress, "holderAddress");
    Check.hasText(handle, "handle");
  }
}
