package org.sequoiareach.decision.dispatch;

import java.util.List;
import java.util.stream.IntStream;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.decision.membership.MembershipReducer;

/**
 * Selects the daemons that are told something, a bounded number in each round and all of them in
 * turn. Not thread-safe.
 */
final class PeerRotation {

  /** The maximum number of recipients per round, which bounds the messages of a large fleet. */
  static final int MAX_RECIPIENTS = 16;

  private final MembershipReducer membership;
  private int next;

  PeerRotation(MembershipReducer membership) {
    this.membership = membership;
  }

  /** Returns the live daemons to tell in this round. */
  List<Member> nextRecipients() {
    List<Member> others = membership.livePeers();
    if (others.isEmpty()) {
      return List.of();
    }
    int first = next % others.size();
    int count = Math.min(MAX_RECIPIENTS, others.size());
    next = first + count;
    return IntStream.range(first, first + count)
        .mapToObj(i -> others.get(i % others.size()))
        .toList();
  }
}
