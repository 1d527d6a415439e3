package org.sequoiareach.decision.membership;

import java.util.Optional;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.platform.MemberUpdate;

/** Helper methods that create and classify {@link MemberUpdate membership updates}. */
final class MemberUpdates {

  private MemberUpdates() {}

  /**
   * Applies a suspicion without an incarnation to the incarnation known here. Its author knows the
   * member from the VM list only. Otherwise the higher incarnation known here would override the
   * suspicion, and the two daemons would take turns in keeping a failed member alive.
   */
  static MemberUpdate resolveIncarnation(MemberUpdate update, Member known) {
    return suspectsUnknownIncarnation(update) && known.state().compareTo(MemberState.SUSPECT) < 0
        ? withState(known, MemberState.SUSPECT)
        : update;
  }

  /**
   * Returns whether an update reports a member as suspect or dead that its author knew from the VM
   * list only, without an incarnation.
   */
  static boolean suspectsUnknownIncarnation(MemberUpdate update) {
    return update.incarnation() == 0 && update.state().compareTo(MemberState.SUSPECT) >= 0;
  }

  /**
   * Returns whether an update only confirms what the VM list said. Such updates need no gossip,
   * because each daemon finds out by its own probes.
   */
  static boolean confirmsVmList(Optional<Member> known, MemberUpdate update) {
    return update.state() == MemberState.ALIVE
        && known
            .filter(member -> member.incarnation() == 0)
            .filter(member -> member.state() == MemberState.ALIVE)
            .filter(member -> member.address().equals(update.address()))
            .isPresent();
  }

  /** Creates an update that puts a member into another state at the same incarnation. */
  static MemberUpdate withState(Member member, MemberState state) {
    return new MemberUpdate(
        member.daemonId(), member.address(), member.zone(), member.incarnation(), state);
  }
}
