package org.sequoiareach.decision.event;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import org.sequoiareach.decision.placement.LoadHint;

/** Is something learnt from or about another daemon. */
@JsonSubTypes({
  @JsonSubTypes.Type(PeerEvent.HintReceived.class),
  @JsonSubTypes.Type(PeerEvent.DaemonLost.class)
})
public interface PeerEvent extends Event {

  /**
   * A summary of a target came with an answer of its owner.
   *
   * @param nowMs when it was observed
   * @param hint the summary
   */
  record HintReceived(long nowMs, LoadHint hint) implements PeerEvent {}

  /**
   * A daemon is gone or cannot be reached; attempts forwarded to it will not be answered.
   *
   * @param nowMs when it was observed
   * @param daemonId the daemon
   */
  record DaemonLost(long nowMs, String daemonId) implements PeerEvent {}
}
