package org.sequoiareach.decision.membership;

import java.util.ArrayList;
import java.util.List;
import org.sequoiareach.model.platform.MemberState;

/** Measures the time to find the owners of 10 000 targets among 1 500 daemons. */
final class OwnershipMeasurement {

  private static final int TARGETS = 10_000;
  private static final int DAEMONS = 1_500;
  private static final int ROUNDS = 8;
  private static final String[] ZONES = {"a", "b", "c"};

  private OwnershipMeasurement() {}

  /** Prints the time of a pass over all targets, per kind of view change. */
  public static void main(String[] args) {
    for (int round = 0; round < ROUNDS; round++) {
      List<Member> members = members();
      RendezvousOwnership ownership = new RendezvousOwnership();
      double first = pass(ownership, new MembershipView(1, members));
      double again = pass(ownership, new MembershipView(1, members));
      members.remove(77);
      double gone = pass(ownership, new MembershipView(2, members));
      members.add(new Member("new", "x:1", "a", 1, MemberState.ALIVE, false, 0));
      double added = pass(ownership, new MembershipView(3, members));
      System.out.printf(
          "first %.1f ms, unchanged %.2f ms, one gone %.2f ms, one added %.2f ms%n",
          first, again, gone, added);
    }
  }

  private static double pass(RendezvousOwnership ownership, MembershipView view) {
    long startNs = System.nanoTime();
    for (int i = 0; i < TARGETS; i++) {
      ownership.findOwner("target-" + i, ZONES[i % 3], view);
    }
    return (System.nanoTime() - startNs) / 1e6;
  }

  private static List<Member> members() {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < DAEMONS; i++) {
      members.add(new Member("daemon-" + i, "x:1", ZONES[i % 3], 1, MemberState.ALIVE, false, 0));
    }
    return members;
  }
}
