package org.sequoiareach.decision.dispatch;

import org.sequoiareach.model.Check;

/**
 * Names the memory from which a run goes on.
 *
 * @param holderAddress the engine that the run was copied from
 * @param handle the copy
 */
public record Continuation(String holderAddress, String handle) {

  /** Checks the parts. */
  public Continuation {
    Check.hasText(holderAddress, "holderAddress");
    Check.hasText(handle, "handle");
  }
}
