package org.sequoiareach.decision.membership;

import java.util.List;

/**
 * Shows which daemons may own targets at one time. Immutable.
 *
 * @param version raised whenever the owners change
 * @param owners the daemons that may own targets, this one included unless it is leaving, ordered
 *     by identity
 */
public record MembershipView(long version, List<Member> owners) {

  /** Copies the parts. */
  public MembershipView {
    owners = List.copyOf(owners);
  }

  /** Returns the next version where the owners or their addresses differ, else this one. */
  MembershipView withOwners(List<Member> others) {
    return identities(others).equals(identities(owners))
        ? this
        : new MembershipView(version + 1, others);
  }

  private static List<String> identities(List<Member> members) {
    return members.stream().map(member -> member.daemonId() + "@" + member.address()).toList();
  }
}
