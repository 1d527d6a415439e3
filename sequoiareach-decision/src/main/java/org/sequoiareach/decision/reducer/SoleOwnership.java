package org.sequoiareach.decision.reducer;

import java.util.List;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.model.Check;

/** Makes this daemon the owner of every target: for a single daemon, and as a baseline. */
public final class SoleOwnership implements Ownership {

  private final String daemonId;

  /**
   * Creates the ownership.
   *
   * @param daemonId the identity of this daemon
   */
  public SoleOwnership(String daemonId) {
    this.daemonId = Check.hasText(daemonId, "daemonId");
  }

  @Override
  public List<Effect> reduce(Event event) {
    return List.of();
  }

  @Override
  public String ownerOf(String targetId, String zone) {
    return daemonId;
  }

  @Override
  public boolean isReachable(String otherDaemonId) {
    return false;
  }

  @Override
  public long version() {
    return 0;
  }

  @Override
  public int liveDaemons() {
    return 1;
  }
}
