package org.sequoiareach.decision.membership;

import java.util.Optional;

/** Strategy that assigns each target to an owning daemon. Not thread-safe. */
public interface OwnershipStrategy {

  /**
   * Finds the owner of a target.
   *
   * @param targetId the identity of the target
   * @param zone the availability zone of the target
   * @param view the daemons that are eligible to own targets
   * @return the owner, or empty if the view has no eligible daemon
   */
  Optional<Member> findOwner(String targetId, String zone, MembershipView view);
}
