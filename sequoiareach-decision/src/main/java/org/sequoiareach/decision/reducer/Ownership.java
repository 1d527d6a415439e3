package org.sequoiareach.decision.reducer;

import java.util.List;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;

/**
 * Tells which daemon owns a target: the one that keeps the target's accounts and queue.
 *
 * <p>Views of different daemons may differ for a moment; two owners of one target cost quality,
 * never a guarantee.
 */
public interface Ownership {

  /**
   * Takes an event that may change who owns what.
   *
   * @param event the event
   * @return effects, in order
   */
  List<Effect> reduce(Event event);

  /**
   * Returns the owner of a target.
   *
   * @param targetId the target
   * @param zone the target's availability zone
   * @return the identity of a daemon
   */
  String ownerOf(String targetId, String zone);

  /**
   * Tells whether attempts may be forwarded to a daemon now.
   *
   * @param daemonId the daemon
   * @return false if it is unknown, suspected to have stopped, or this daemon itself
   */
  boolean isReachable(String daemonId);

  /**
   * Returns a number that changes whenever an owner may have changed.
   *
   * @return the version
   */
  long version();

  /**
   * Returns how many daemons share the work.
   *
   * @return at least 1
   */
  int liveDaemons();
}
