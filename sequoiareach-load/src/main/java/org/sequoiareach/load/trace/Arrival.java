package org.sequoiareach.load.trace;

import org.sequoiareach.load.settings.Organisation;
import org.sequoiareach.load.settings.RequestClass;
import org.sequoiareach.model.Check;

/**
 * Describes one request of a trace.
 *
 * @param number the place in the trace, from 0
 * @param atNs the scheduled arrival, in nanoseconds since the start of the run
 * @param requestClass the class of the request
 * @param organisation who sends it
 * @param promptTokens the length of its prompt; 0 for a service call
 * @param answerTokens the length of its answer, unknown to the system; 0 for a service call
 * @param dropsConnection whether its caller drops the connection on purpose and resumes
 */
public record Arrival(
    int number,
    long atNs,
    RequestClass requestClass,
    Organisation organisation,
    int promptTokens,
    int answerTokens,
    boolean dropsConnection) {

  /** Checks the parts. */
  public Arrival {
    Check.notNull(requestClass, "requestClass");
    Check.notNull(organisation, "organisation");
  }
}
