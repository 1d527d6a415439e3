package org.sequoiareach.decision.reducer;

import java.util.Optional;

/**
 * Tells which daemon owns a target: the one that keeps the target's accounts and queue.
 *
 * <p>Views of different daemons may differ for a moment; two owners of one target cost quality,
 * never a guarantee.
 */
public interface Ownership {

  /**
   * Returns the owner of a target.
   *
   * @param targetId the target
   * @param zone the target's availability zone
   * @return the identity of a daemon
   */
  String ownerOf(String targetId, String zone);

  /**
   * Returns the address of a daemon for other daemons.
   *
   * @param daemonId the daemon
   * @return its address; empty where it is not known
   */
  Optional<String> findAddress(String daemonId);

  /**
   * Returns how many daemons share the work.
   *
   * @return at least 1
   */
  int liveDaemons();
}
