package org.sequoiareach.load.check;

import org.sequoiareach.model.Check;

/**
 * A violated guarantee.
 *
 * @param kind the guarantee
 * @param detail a description of the observation
 */
public record Fault(FaultKind kind, String detail) {

  /** Validates the components. */
  public Fault {
    Check.notNull(kind, "kind");
    Check.notNull(detail, "detail");
  }
}
