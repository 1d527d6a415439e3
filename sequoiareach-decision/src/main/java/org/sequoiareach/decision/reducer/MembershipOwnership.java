package org.sequoiareach.decision.reducer;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.decision.membership.MembershipReducer;
import org.sequoiareach.decision.membership.OwnershipStrategy;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.MemberState;

/** Spreads ownership over the daemons that the membership believes to live. */
public final class MembershipOwnership implements Ownership {

  private final String daemonId;
  private final MembershipReducer membership;
  private final OwnershipStrategy strategy;

  /**
   * Creates the ownership.
   *
   * @param daemonId the identity of this daemon
   * @param membership the beliefs about the other daemons
   * @param strategy chooses owners among the members
   */
  public MembershipOwnership(
      String daemonId, MembershipReducer membership, OwnershipStrategy strategy) {
    this.daemonId = Check.hasText(daemonId, "daemonId");
    this.membership = Check.notNull(membership, "membership");
    this.strategy = Check.notNull(strategy, "strategy");
  }

  @Override
  public List<Effect> reduce(Event event) {
    return membership.reduce(event);
  }

  @Override
  public String ownerOf(String targetId, String zone) {
    return strategy
        .findOwner(targetId, zone, membership.view())
        .map(Member::daemonId)
        .orElse(daemonId);
  }

  @Override
  public boolean isReachable(String otherDaemonId) {
    Optional<Member> member = membership.find(otherDaemonId);
    return member.isPresent() && member.get().state().compareTo(MemberState.SUSPECT) < 0;
  }

  @Override
  public long version() {
    return membership.view().version();
  }

  @Override
  public int liveDaemons() {
    return Math.max(1, membership.view().owners().size());
  }
}
