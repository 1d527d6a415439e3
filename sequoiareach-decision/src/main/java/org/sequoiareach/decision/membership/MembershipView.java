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
}
