package org.sequoiareach.load.trace;

import org.sequoiareach.load.settings.Organisation;
import org.sequoiareach.load.settings.RequestClass;
import org.sequoiareach.model.Check;

/**
 * A scheduled request of a trace.
 *
 * @param number the index in the trace, from 0
 * @param atNs the scheduled arrival in nanoseconds since the start of the run
 * @param requestClass the class of the request
 * @param organisation the sending organisation
 * @param promptTokens the prompt length in tokens; 0 for a service call
 * @param answerTokens the answer length in tokens, unknown to the system under test; 0 for a
 *     service call
 * @param dropsConnection whether the client deliberately drops the connection and resumes
 */
public record Arrival(
    int number,
    long atNs,
    RequestClass requestClass,
    Organisation organisation,
    int promptTokens,
    int answerTokens,
    boolean dropsConnection) {

  /** Validates the components. */
  public Arrival {
    Check.notNull(requestClass, "requestClass");
    Check.notNull(organisation, "organisation");
  }
}
