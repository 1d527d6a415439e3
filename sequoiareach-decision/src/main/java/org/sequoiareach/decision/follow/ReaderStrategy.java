package org.sequoiareach.decision.follow;

import org.sequoiareach.decision.membership.MembershipView;

/** Chooses the daemons that watch the store for all. Not thread-safe. */
public interface ReaderStrategy {

  /**
   * Returns whether a daemon watches the store for the others.
   *
   * @param daemonId the identity of the daemon
   * @param view the live daemons
   * @return true if it is one of the readers
   */
  boolean isReader(String daemonId, MembershipView view);
}
