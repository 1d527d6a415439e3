package org.sequoiareach.decision.pressure;

import org.sequoiareach.model.Check;

/**
 * What a process holds for one client.
 *
 * @param stage what the client does
 * @param heldBytes the memory held, in bytes
 * @param progressMs when the client last made progress, in milliseconds of the monotonic clock
 */
public record Holding(Stage stage, long heldBytes, long progressMs) {

  /** What a client does. */
  public enum Stage {
    /** No request is in progress. */
    IDLE,
    /** The client sends a request, which has not run. */
    SENDING,
    /** The request is being served. */
    RUNNING
  }

  /** Validates the components. */
  public Holding {
    Check.notNull(stage, "stage");
    Check.isTrue(heldBytes >= 0, "'heldBytes' must not be negative but is " + heldBytes + ".");
  }
}
