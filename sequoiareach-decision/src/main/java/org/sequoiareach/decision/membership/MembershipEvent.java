package org.sequoiareach.decision.membership;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.sheet.SheetStatus;

/** Is something that another daemon sent, or that sending to it showed. */
@JsonSubTypes({
  @JsonSubTypes.Type(MembershipEvent.ProbeReceived.class),
  @JsonSubTypes.Type(MembershipEvent.ProbeAcked.class),
  @JsonSubTypes.Type(MembershipEvent.IndirectProbeRequested.class),
  @JsonSubTypes.Type(MembershipEvent.PeerUnreachable.class),
  @JsonSubTypes.Type(MembershipEvent.PeerConnectionLost.class)
})
public interface MembershipEvent extends Event {

  /**
   * Another daemon asks whether this one lives.
   *
   * @param nowMs when it was observed
   * @param fromDaemon the daemon that asks
   * @param sequence the number to answer with
   * @param updates its news; the first is about itself
   * @param sheet the sheet it holds
   */
  record ProbeReceived(
      long nowMs, String fromDaemon, long sequence, List<MemberUpdate> updates, SheetStatus sheet)
      implements MembershipEvent {}

  /**
   * A probe was answered, directly or through another daemon.
   *
   * @param nowMs when it was observed
   * @param fromDaemon the daemon that sent the answer
   * @param sequence the number of the probe
   * @param memberId the daemon that lives
   * @param updates news that came with it
   * @param sheet the sheet the member holds; empty where the answer was passed on for it
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
   * Another daemon asks this one to probe a third.
   *
   * @param nowMs when it was observed
   * @param fromDaemon the daemon that asks
   * @param sequence the number to answer with
   * @param memberId the daemon to probe
   * @param address its address
   * @param updates news that came with it
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
   * @param nowMs when it was observed
   * @param daemonId the daemon
   */
  record PeerUnreachable(long nowMs, String daemonId) implements MembershipEvent {}

  /**
   * A connection over which attempts were open was lost.
   *
   * @param nowMs when it was observed
   * @param daemonId the daemon at the other end
   */
  record PeerConnectionLost(long nowMs, String daemonId) implements MembershipEvent {}
}
