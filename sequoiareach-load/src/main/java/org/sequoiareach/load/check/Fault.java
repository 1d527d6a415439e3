package org.sequoiareach.load.check;

import org.sequoiareach.model.Check;

/**
 * Reports one broken promise.
 *
 * @param kind which promise
 * @param detail what was seen
 */
public record Fault(FaultKind kind, String detail) {

  /** Checks the parts. */
  public Fault {
    Check.notNull(kind, "kind");
    Check.notNull(detail, "detail");
  }
}
