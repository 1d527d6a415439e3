package org.sequoiareach.decision.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.decision.membership.MembershipReducer;
import org.sequoiareach.decision.membership.MembershipView;
import org.sequoiareach.decision.membership.OwnershipStrategy;
import org.sequoiareach.decision.membership.RendezvousOwnership;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Determines which daemon issues the permits for a target: its owner, without the daemons that are
 * suspected to have failed or did not answer this one. Not thread-safe.
 */
final class PermitOwners {

  /** How long an owner that did not answer is not asked again. */
  private static final long OWNER_AVOIDANCE_MS = 3_000;

  private final MembershipReducer membership;
  private final OwnershipStrategy ownership = new RendezvousOwnership();
  private final OwnershipStrategy ownershipByMembership = new RendezvousOwnership();
  private final Map<String, Long> avoidedUntilMs = new HashMap<>();
  private MembershipView issuers = new MembershipView(1, List.of());
  private MembershipView responsive = new MembershipView(1, List.of());

  PermitOwners(MembershipReducer membership) {
    this.membership = membership;
  }

  void tick(long nowMs) {
    avoidedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
  }

  /** Asks a daemon that did not answer for no more permits for a while. */
  void avoid(long nowMs, String daemonId) {
    avoidedUntilMs.put(daemonId, nowMs + OWNER_AVOIDANCE_MS);
  }

  /** Returns the other daemon to ask for permits; empty if this daemon issues them. */
  Optional<Member> find(long nowMs, RoutedTarget target) {
    issuers =
        update(issuers, id -> avoidedUntilMs.getOrDefault(id, nowMs) <= nowMs && !isSuspected(id));
    return findOther(ownership, issuers, target);
  }

  /** Returns the other daemon that owns a target by the membership alone; empty for this one. */
  Optional<Member> findByMembership(RoutedTarget target) {
    responsive = update(responsive, id -> !isSuspected(id));
    return findOther(ownershipByMembership, responsive, target);
  }

  private Optional<Member> findOther(
      OwnershipStrategy strategy, MembershipView view, RoutedTarget target) {
    return strategy
        .findOwner(target.id(), target.zone(), view)
        .filter(owner -> !membership.isSelf(owner.daemonId()));
  }

  /** Returns a view of the owners that are selected, which is the same one if they are. */
  private MembershipView update(MembershipView known, Predicate<String> selected) {
    List<Member> owners =
        membership.view().owners().stream()
            .filter(member -> selected.test(member.daemonId()))
            .toList();
    return owners.equals(known.owners()) ? known : new MembershipView(known.version() + 1, owners);
  }

  private boolean isSuspected(String daemonId) {
    return membership
        .find(daemonId)
        .filter(member -> member.state() == MemberState.SUSPECT)
        .isPresent();
  }
}
