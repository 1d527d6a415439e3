package org.sequoiareach.decision.placement;

/** Creates the accounts of a target when this daemon first places work there. */
public interface AdmissionFactory {

  /**
   * Creates empty accounts.
   *
   * @param targetId the target
   * @return the accounts
   */
  AdmissionStrategy create(String targetId);
}
