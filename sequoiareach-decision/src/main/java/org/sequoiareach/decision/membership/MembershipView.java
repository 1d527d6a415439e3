package org.sequoiareach.decision.membership;

import java.util.List;

/**
 * An immutable snapshot of the daemons that are eligible to own targets.
 *
 * @param version the version of the snapshot, incremented whenever the owners change
 * @param owners the eligible daemons, ordered by identity; includes the local daemon unless it is
 *     leaving
 */
public record MembershipView(long version, List<Member> owners) {

  /** Creates a view with a defensive copy of the owners. */
  public MembershipView {
    owners = List.copyOf(owners);
  }

  /** Returns this view if identities, addresses and zones are unchanged, else the next version. */
  MembershipView withOwners(List<Member> newOwners) {
    return endpoints(newOwners).equals(endpoints(owners))
        ? this
        : new MembershipView(version + 1, newOwners);
  }

  private static List<String> endpoints(List<Member> members) {
    return members.stream()
        .map(member -> member.daemonId() + "@" + member.address() + "/" + member.zone())
        .toList();
  }
}
