package org.sequoiareach.decision.reducer;

import java.util.Optional;
import org.sequoiareach.decision.group.GroupReducer;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.model.platform.MemberState;

/** Answers what the two roles ask about the other daemons. */
final class Peers {

  private final String daemonId;
  private final GroupReducer group;

  Peers(String daemonId, GroupReducer group) {
    this.daemonId = daemonId;
    this.group = group;
  }

  /** Returns the owner of a target; this daemon where no other may own targets. */
  String ownerOf(String targetId, String zone) {
    return group.findOwner(targetId, zone).map(Member::daemonId).orElse(daemonId);
  }

  /** Tells whether attempts may be forwarded to a daemon: it is known and not suspected. */
  boolean isReachable(String otherDaemonId) {
    Optional<Member> member = group.membership().find(otherDaemonId);
    return member.isPresent() && member.get().state().compareTo(MemberState.SUSPECT) < 0;
  }

  /** Returns how many daemons share the work, this one included. */
  int liveDaemons() {
    return Math.max(1, group.membership().view().owners().size());
  }

  /** Returns a number that changes whenever an owner may have changed. */
  long version() {
    return group.membership().view().version();
  }
}
