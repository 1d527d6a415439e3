package org.sequoiareach.decision.event;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import org.sequoiareach.decision.placement.LoadHint;

/** Event from or about another daemon. */
@JsonSubTypes({
  @JsonSubTypes.Type(PeerEvent.HintReceived.class),
  @JsonSubTypes.Type(PeerEvent.DaemonLost.class)
})
public interface PeerEvent extends Event {

  /**
   * An answer from a target's owner carried the target's load hint.
   *
   * @param nowMs the time of observation
   * @param hint the load hint
   */
  record HintReceived(long nowMs, LoadHint hint) implements PeerEvent {}

  /**
   * A daemon has failed or is unreachable; attempts forwarded to it will not be answered.
   *
   * @param nowMs the time of observation
   * @param daemonId the daemon
   */
  record DaemonLost(long nowMs, String daemonId) implements PeerEvent {}
}
