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

/**
 * Holds the state of all other daemons and applies the updates that supersede it.
 *
 * <p>A higher incarnation supersedes a lower one; within an incarnation, a state that comes later
 * in {@link MemberState} supersedes an earlier one. An update that reports an unknown daemon as
 * dead is ignored. Not thread-safe.
 */
final class MemberTable {

  private static final long DEAD_RETENTION_MS = 300_000;

  private final String selfId;
  private final Map<String, Member> members = new HashMap<>();
  private final Set<String> listedIds = new HashSet<>();
  private final Set<String> listedLeavingIds = new HashSet<>();
  private long version;

  /**
   * Creates an empty table.
   *
   * @param selfId the identity of the local daemon, which has no entry
   */
  MemberTable(String selfId) {
    this.selfId = selfId;
  }

  /**
   * Applies an update about another daemon if it supersedes the known state.
   *
   * @param nowMs the current time in milliseconds
   * @param update the update
   * @return the updated member, or empty if the update was ignored
   */
  Optional<Member> apply(long nowMs, MemberUpdate update) {
    Member known = members.get(update.daemonId());
    if (!supersedes(update, known)) {
      return Optional.empty();
    }
    boolean leaving = update.state() == MemberState.LEAVING;
    boolean remainsLeaving =
        known != null && known.leaving() && update.state() != MemberState.ALIVE;
    Member updated =
        new Member(
            update.daemonId(),
            update.address(),
            update.zone(),
            update.incarnation(),
            update.state(),
            leaving || remainsLeaving || listedLeavingIds.contains(update.daemonId()),
            nowMs);
    members.put(updated.daemonId(), updated);
    version++;
    return Optional.of(updated);
  }

  /**
   * Applies the platform's VM list: adds unknown daemons as alive and marks daemons listed as
   * leaving. A daemon missing from the list is not removed, since it may still answer probes.
   *
   * @param nowMs the current time in milliseconds
   * @param vms the VM list
   * @return the members that were added
   */
  List<Member> applyVmList(long nowMs, List<VmEntry> vms) {
    List<VmEntry> daemons =
        vms.stream().filter(vm -> vm.kind() == VmKind.DAEMON && !vm.id().equals(selfId)).toList();
    listedIds.clear();
    listedLeavingIds.clear();
    for (VmEntry vm : daemons) {
      listedIds.add(vm.id());
      if (vm.leaving()) {
        listedLeavingIds.add(vm.id());
        members.computeIfPresent(vm.id(), (id, member) -> member.withLeaving(true));
        version++;
      }
    }
    return daemons.stream()
        .filter(vm -> !members.containsKey(vm.id()))
        .map(vm -> apply(nowMs, toUpdate(vm)).orElseThrow())
        .toList();
  }

  /**
   * Removes unlisted daemons that have been dead for longer than the retention time.
   *
   * @param nowMs the current time in milliseconds
   */
  void removeExpired(long nowMs) {
    boolean removed =
        members
            .values()
            .removeIf(
                member ->
                    member.state() == MemberState.DEAD
                        && nowMs - member.sinceMs() > DEAD_RETENTION_MS
                        && !listedIds.contains(member.daemonId()));
    if (removed) {
      version++;
    }
  }

  /** Returns a number that grows whenever a member is added, changed or removed. */
  long version() {
    return version;
  }

  /**
   * Finds a member by its identity.
   *
   * @param daemonId the identity of the daemon
   * @return the member, or empty if the daemon is unknown
   */
  Optional<Member> find(String daemonId) {
    return Optional.ofNullable(members.get(daemonId));
  }

  /**
   * Returns all known members, dead ones included.
   *
   * @return the members, in no particular order
   */
  Collection<Member> all() {
    return members.values();
  }

  /** Returns whether a daemon is known and in the given state. */
  boolean hasState(String daemonId, MemberState state) {
    return find(daemonId).filter(member -> member.state() == state).isPresent();
  }

  /** Returns the members in the given state, ordered by identity. */
  List<Member> findByState(MemberState state) {
    return members.values().stream()
        .filter(member -> member.state() == state)
        .sorted(Comparator.comparing(Member::daemonId))
        .toList();
  }

  private static boolean supersedes(MemberUpdate update, Member known) {
    if (known == null) {
      return update.state() != MemberState.DEAD;
    }
    if (update.incarnation() != known.incarnation()) {
      return update.incarnation() > known.incarnation();
    }
    return update.state().compareTo(known.state()) > 0;
  }

  private static MemberUpdate toUpdate(VmEntry vm) {
    return new MemberUpdate(vm.id(), vm.address(), vm.zone(), 0, MemberState.ALIVE);
  }
}
