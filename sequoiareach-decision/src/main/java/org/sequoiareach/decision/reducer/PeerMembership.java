package org.sequoiareach.decision.reducer;

import java.util.Optional;
import org.sequoiareach.decision.group.GroupReducer;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.model.platform.MemberState;

/** Queries about the other daemons of the group, answered from the membership view. */
final class PeerMembership {

  private final String daemonId;
  private final GroupReducer group;

  PeerMembership(String daemonId, GroupReducer group) {
    this.daemonId = daemonId;
    this.group = group;
  }

  /** Returns the id of the target's owner; this daemon if no member can own targets. */
  String ownerOf(String targetId, String zone) {
    return group.findOwner(targetId, zone).map(Member::daemonId).orElse(daemonId);
  }

  /** Returns whether a daemon is a member that is neither suspected nor dead. */
  boolean isReachable(String otherDaemonId) {
    Optional<Member> member = group.membership().find(otherDaemonId);
    return member.isPresent() && member.get().state().compareTo(MemberState.SUSPECT) < 0;
  }

  /** Returns the number of daemons that can own targets, at least 1. */
  int liveDaemons() {
    return Math.max(1, group.membership().view().owners().size());
  }

  /** Returns a version that changes whenever the owner of a target may have changed. */
  long version() {
    return group.membership().view().version();
  }
}
