package org.sequoiareach.decision.placement;

/** Creates the {@link AdmissionStrategy} of a target when this daemon first places work there. */
public interface AdmissionFactory {

  /**
   * Creates a strategy with an empty queue and no running attempts.
   *
   * @param targetId the target
   * @return the strategy
   */
  AdmissionStrategy create(String targetId);
}
