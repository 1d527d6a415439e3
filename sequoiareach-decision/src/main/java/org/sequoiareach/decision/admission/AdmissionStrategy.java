package org.sequoiareach.decision.admission;

/** Decides which generations are sent, wait or are refused. Not thread-safe. */
public interface AdmissionStrategy {

  /**
   * Returns whether a call may be sent to an engine, apart from the engine's memory.
   *
   * @param call the call
   * @param engine the load of the engine
   * @param pace the pace of the service's engines
   * @return true if the engine is a candidate
   */
  boolean accepts(WaitingCall call, EngineLoad engine, ServicePace pace);

  /**
   * Decides on a call.
   *
   * @param nowMs the current time
   * @param request the inputs
   * @return the decision
   */
  AdmissionDecision decide(long nowMs, AdmissionRequest request);
}
