package org.sequoiareach.decision.membership;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.sheet.SheetStatus;

/** An effect of the membership protocol: a message to another daemon or a change to report. */
@JsonSubTypes({
  @JsonSubTypes.Type(MembershipEffect.SendProbe.class),
  @JsonSubTypes.Type(MembershipEffect.SendProbeAck.class),
  @JsonSubTypes.Type(MembershipEffect.SendIndirectProbe.class),
  @JsonSubTypes.Type(MembershipEffect.MembersChanged.class)
})
public interface MembershipEffect extends Effect {

  /**
   * Sends a probe. The host reports a send failure as {@link MembershipEvent.PeerUnreachable}.
   *
   * @param daemonId the receiver
   * @param address its IP address and port
   * @param sequence the sequence number of the probe
   * @param updates the piggybacked membership updates; the first is about the sender
   * @param sheet the status of the sheet held by this daemon
   */
  record SendProbe(
      String daemonId, String address, long sequence, List<MemberUpdate> updates, SheetStatus sheet)
      implements MembershipEffect {}

  /**
   * Acknowledges a probe, on behalf of this daemon or of a member probed indirectly.
   *
   * @param daemonId the receiver
   * @param address its IP address and port
   * @param sequence the sequence number of the probe
   * @param memberId the daemon that is alive
   * @param updates the piggybacked membership updates
   * @param sheet the status of the sheet held by this daemon; empty in an acknowledgement on behalf
   *     of another daemon
   */
  record SendProbeAck(
      String daemonId,
      String address,
      long sequence,
      String memberId,
      List<MemberUpdate> updates,
      Optional<SheetStatus> sheet)
      implements MembershipEffect {}

  /**
   * Asks a daemon to probe another one on behalf of this daemon.
   *
   * @param daemonId the receiver
   * @param address its IP address and port
   * @param sequence the sequence number to acknowledge
   * @param memberId the daemon to probe
   * @param memberAddress the IP address and port of the daemon to probe
   * @param updates the piggybacked membership updates
   */
  record SendIndirectProbe(
      String daemonId,
      String address,
      long sequence,
      String memberId,
      String memberAddress,
      List<MemberUpdate> updates)
      implements MembershipEffect {}

  /**
   * Reports changed members to the log.
   *
   * @param changes the members in their new state
   */
  record MembersChanged(List<MemberUpdate> changes) implements MembershipEffect {}
}
