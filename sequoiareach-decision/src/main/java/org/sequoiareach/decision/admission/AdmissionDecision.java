package org.sequoiareach.decision.admission;

import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/** The decision on one call. Immutable. */
public sealed interface AdmissionDecision {

  /** Sends the call to the chosen engine now. */
  record Send() implements AdmissionDecision {}

  /**
   * Keeps the call at the daemon.
   *
   * @param untilMs when the call is refused at the latest, in milliseconds
   * @param expectedMs the expected wait, in milliseconds
   */
  record Wait(long untilMs, long expectedMs) implements AdmissionDecision {}

  /**
   * Refuses the call.
   *
   * @param returnAfterMs the delay after which room is expected, in milliseconds; empty if unknown
   * @param inputs the inputs of the decision, for the decision log
   */
  record Refuse(OptionalLong returnAfterMs, String inputs) implements AdmissionDecision {

    /** Validates the components. */
    public Refuse {
      Check.notNull(returnAfterMs, "returnAfterMs");
      Check.notNull(inputs, "inputs");
    }
  }
}
