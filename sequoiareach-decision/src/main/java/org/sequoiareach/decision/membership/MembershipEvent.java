package org.sequoiareach.decision.membership;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.sheet.SheetStatus;

/** A message of the membership protocol from another daemon, or a failure to reach a daemon. */
@JsonSubTypes({
  @JsonSubTypes.Type(MembershipEvent.ProbeReceived.class),
  @JsonSubTypes.Type(MembershipEvent.ProbeAcked.class),
  @JsonSubTypes.Type(MembershipEvent.IndirectProbeRequested.class),
  @JsonSubTypes.Type(MembershipEvent.PeerUnreachable.class),
  @JsonSubTypes.Type(MembershipEvent.PeerConnectionLost.class)
})
public interface MembershipEvent extends Event {

  /**
   * Another daemon has probed this one.
   *
   * @param nowMs the time of the event in milliseconds
   * @param fromDaemon the sender
   * @param sequence the sequence number to acknowledge
   * @param updates the piggybacked membership updates; the first is about the sender
   * @param sheet the status of the sheet held by the sender
   */
  record ProbeReceived(
      long nowMs, String fromDaemon, long sequence, List<MemberUpdate> updates, SheetStatus sheet)
      implements MembershipEvent {}

  /**
   * A probe was acknowledged, directly or through another daemon.
   *
   * @param nowMs the time of the event in milliseconds
   * @param fromDaemon the sender of the acknowledgement
   * @param sequence the sequence number of the probe
   * @param memberId the daemon that is alive
   * @param updates the piggybacked membership updates
   * @param sheet the status of the sheet held by the member; empty if another daemon relayed the
   *     acknowledgement
   */
  record ProbeAcked(
      long nowMs,
      String fromDaemon,
      long sequence,
      String memberId,
      List<MemberUpdate> updates,
      Optional<SheetStatus> sheet)
      implements MembershipEvent {}

  /**
   * Another daemon has asked this one to probe a third daemon.
   *
   * @param nowMs the time of the event in milliseconds
   * @param fromDaemon the requesting daemon
   * @param sequence the sequence number to acknowledge
   * @param memberId the daemon to probe
   * @param address the IP address and port of the daemon to probe
   * @param updates the piggybacked membership updates
   */
  record IndirectProbeRequested(
      long nowMs,
      String fromDaemon,
      long sequence,
      String memberId,
      String address,
      List<MemberUpdate> updates)
      implements MembershipEvent {}

  /**
   * A message to another daemon could not be sent.
   *
   * @param nowMs the time of the event in milliseconds
   * @param daemonId the daemon that could not be reached
   */
  record PeerUnreachable(long nowMs, String daemonId) implements MembershipEvent {}

  /**
   * A peer connection with open attempts was lost.
   *
   * @param nowMs the time of the event in milliseconds
   * @param daemonId the daemon at the other end of the connection
   */
  record PeerConnectionLost(long nowMs, String daemonId) implements MembershipEvent {}
}
