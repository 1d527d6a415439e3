package org.sequoiareach.decision.membership;

import java.util.Optional;

/** Chooses the daemon that owns a target. Not thread-safe. */
public interface OwnershipStrategy {

  /**
   * Finds the owner of a target.
   *
   * @param targetId the target
   * @param zone the target's availability zone
   * @param view the daemons that may own targets
   * @return the owner, or empty if no daemon may own targets
   */
  Optional<Member> findOwner(String targetId, String zone, MembershipView view);
}
