package org.sequoiareach.load.check;

import org.sequoiareach.model.Check;

/**
 * Reports a broken promise to one request.
 *
 * @param requestId the marker or idempotency key of the request
 * @param requestClass the class of the request
 * @param fault which promise, and what was seen
 */
public record Violation(String requestId, String requestClass, Fault fault) {

  /** Checks the parts. */
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
