package org.sequoiareach.decision.membership;

import java.util.Optional;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.platform.MemberUpdate;

/** Interprets news of members. */
final class MemberUpdates {

  private MemberUpdates() {}

  /**
   * Takes a doubt by a daemon that knows the member from the list only as one about the incarnation
   * known here; else the two would outlive each other in turn.
   */
  static MemberUpdate aboutKnown(MemberUpdate update, Member known) {
    return doubtsListed(update) && known.state().compareTo(MemberState.SUSPECT) < 0
        ? inState(known, MemberState.SUSPECT)
        : update;
  }

  /** Tells whether news is a doubt about a member that its author knew from the list only. */
  static boolean doubtsListed(MemberUpdate update) {
    return update.incarnation() == 0 && update.state().compareTo(MemberState.SUSPECT) >= 0;
  }

  /** Tells whether news only shows that the list was right, which each daemon finds by itself. */
  static boolean confirmsList(Optional<Member> known, MemberUpdate update) {
    return update.state() == MemberState.ALIVE
        && known
            .filter(member -> member.incarnation() == 0)
            .filter(member -> member.state() == MemberState.ALIVE)
            .filter(member -> member.address().equals(update.address()))
            .isPresent();
  }

  /** Creates news of a member in another state. */
  static MemberUpdate inState(Member member, MemberState state) {
    return new MemberUpdate(
        member.daemonId(), member.address(), member.zone(), member.incarnation(), state);
  }
}
