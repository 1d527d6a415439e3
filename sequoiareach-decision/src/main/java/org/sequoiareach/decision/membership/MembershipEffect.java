package org.sequoiareach.decision.membership;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.sheet.SheetStatus;

/** Is a message to another daemon, or news of the members. */
@JsonSubTypes({
  @JsonSubTypes.Type(MembershipEffect.SendProbe.class),
  @JsonSubTypes.Type(MembershipEffect.SendProbeAck.class),
  @JsonSubTypes.Type(MembershipEffect.SendIndirectProbe.class),
  @JsonSubTypes.Type(MembershipEffect.MembersChanged.class)
})
public interface MembershipEffect extends Effect {

  /**
   * Sends a probe. The host reports a failure as {@link MembershipEvent.PeerUnreachable}.
   *
   * @param daemonId the receiver
   * @param address its address
   * @param sequence the number of the probe
   * @param updates news that travels with it
   * @param sheet the sheet this daemon holds
   */
  record SendProbe(
      String daemonId, String address, long sequence, List<MemberUpdate> updates, SheetStatus sheet)
      implements MembershipEffect {}

  /**
   * Answers a probe.
   *
   * @param daemonId the receiver
   * @param address its address
   * @param sequence the number of the probe
   * @param memberId the daemon that lives
   * @param updates news that travels with it
   * @param sheet the sheet this daemon holds; empty where it answers for another
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
   * Asks a daemon to probe another one.
   *
   * @param daemonId the receiver
   * @param address its address
   * @param sequence the number of the probe
   * @param memberId the daemon to probe
   * @param memberAddress its address
   * @param updates news that travels with it
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
   * Tells that beliefs about members have changed, for the log.
   *
   * @param changes the new beliefs
   */
  record MembersChanged(List<MemberUpdate> changes) implements MembershipEffect {}
}
