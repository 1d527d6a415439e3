package org.sequoiareach.decision.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;

/** Holds the beliefs about all other daemons and decides which news overrules them. */
final class MemberTable {

  private static final long KEEP_DEAD_MS = 300_000;

  private final String selfId;
  private final Map<String, Member> members = new HashMap<>();
  private final Set<String> listed = new HashSet<>();
  private final Set<String> listedLeaving = new HashSet<>();

  /**
   * Creates an empty table.
   *
   * @param selfId this daemon, which has no entry
   */
  MemberTable(String selfId) {
    this.selfId = selfId;
  }

  /**
   * Adopts news about another daemon if it overrules the belief.
   *
   * @param nowMs the time
   * @param update the news
   * @return the new belief, or empty if the old one stands
   */
  Optional<Member> adopt(long nowMs, MemberUpdate update) {
    Member known = members.get(update.daemonId());
    if (!overrules(update, known)) {
      return Optional.empty();
    }
    boolean leaving = update.state() == MemberState.LEAVING;
    boolean keepsLeaving = known != null && known.leaving() && update.state() != MemberState.ALIVE;
    Member adopted =
        new Member(
            update.daemonId(),
            update.address(),
            update.zone(),
            update.incarnation(),
            update.state(),
            leaving || keepsLeaving || listedLeaving.contains(update.daemonId()),
            nowMs);
    members.put(adopted.daemonId(), adopted);
    return Optional.of(adopted);
  }

  /**
   * Takes over a read of the platform's list: daemons not known yet are believed to live, those
   * that the list shows as leaving are leaving. The list never removes a daemon that answers.
   *
   * @param nowMs the time
   * @param vms the list
   * @return daemons that were not known
   */
  List<Member> adoptList(long nowMs, List<VmEntry> vms) {
    List<VmEntry> daemons =
        vms.stream().filter(vm -> vm.kind() == VmKind.DAEMON && !vm.id().equals(selfId)).toList();
    listed.clear();
    listedLeaving.clear();
    for (VmEntry vm : daemons) {
      listed.add(vm.id());
      if (vm.leaving()) {
        listedLeaving.add(vm.id());
        members.computeIfPresent(vm.id(), (id, member) -> member.withLeaving(true));
      }
    }
    return daemons.stream()
        .filter(vm -> !members.containsKey(vm.id()))
        .map(vm -> adopt(nowMs, fromList(vm)).orElseThrow())
        .toList();
  }

  /**
   * Forgets daemons that stopped long ago and that the list does not show.
   *
   * @param nowMs the time
   */
  void forgetDead(long nowMs) {
    members
        .values()
        .removeIf(
            member ->
                member.state() == MemberState.DEAD
                    && nowMs - member.sinceMs() > KEEP_DEAD_MS
                    && !listed.contains(member.daemonId()));
  }

  /**
   * Finds the belief about a daemon.
   *
   * @param daemonId the daemon
   * @return the belief, or empty if the daemon is not known
   */
  Optional<Member> find(String daemonId) {
    return Optional.ofNullable(members.get(daemonId));
  }

  /**
   * Returns all beliefs.
   *
   * @return the members, in no order
   */
  Collection<Member> all() {
    return members.values();
  }

  /** Tells whether a daemon is known and believed to be in a state. */
  boolean isIn(String daemonId, MemberState state) {
    return find(daemonId).filter(member -> member.state() == state).isPresent();
  }

  /** Returns the daemons believed to be in a state, ordered by identity. */
  List<Member> inState(MemberState state) {
    return members.values().stream()
        .filter(member -> member.state() == state)
        .sorted(Comparator.comparing(Member::daemonId))
        .toList();
  }

  private static boolean overrules(MemberUpdate update, Member known) {
    if (known == null) {
      return update.state() != MemberState.DEAD;
    }
    if (update.incarnation() != known.incarnation()) {
      return update.incarnation() > known.incarnation();
    }
    return update.state().compareTo(known.state()) > 0;
  }

  private static MemberUpdate fromList(VmEntry vm) {
    return new MemberUpdate(vm.id(), vm.address(), vm.zone(), 0, MemberState.ALIVE);
  }
}
