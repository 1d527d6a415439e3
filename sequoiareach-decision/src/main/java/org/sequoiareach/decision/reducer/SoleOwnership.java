package org.sequoiareach.decision.reducer;

import java.util.Optional;
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
  public String ownerOf(String targetId, String zone) {
    return daemonId;
  }

  @Override
  public Optional<String> findAddress(String otherDaemonId) {
    return daemonId.equals(otherDaemonId) ? Optional.of("") : Optional.empty();
  }

  @Override
  public int liveDaemons() {
    return 1;
  }
}
