package org.sequoiareach.load.check;

import org.sequoiareach.model.Check;

/**
 * A guarantee violated for one request.
 *
 * @param requestId the marker or idempotency key of the request
 * @param requestClass the name of the request class
 * @param fault the fault found
 */
public record Violation(String requestId, String requestClass, Fault fault) {

  /** Validates the components. */
  public Violation {
    Check.hasText(requestId, "requestId");
    Check.hasText(requestClass, "requestClass");
    Check.notNull(fault, "fault");
  }

  @Override
  public String toString() {
    return requestId + " (" + requestClass + "): " + fault.kind().label() + ": " + fault.detail();
  }
}
