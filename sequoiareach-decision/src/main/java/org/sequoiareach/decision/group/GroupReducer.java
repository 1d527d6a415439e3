package org.sequoiareach.decision.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.decision.membership.MembershipEvent;
import org.sequoiareach.decision.membership.MembershipReducer;
import org.sequoiareach.decision.membership.OwnershipStrategy;
import org.sequoiareach.decision.membership.RendezvousOwnership;
import org.sequoiareach.decision.sheet.SheetEvent;
import org.sequoiareach.decision.sheet.SheetGuard;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;

/**
 * Joins membership, ownership of targets and the guard of the sheet, which share the traffic
 * between daemons. Takes every event of the reducer. Not thread-safe.
 */
public final class GroupReducer {

  private final MembershipReducer membership;
  private final SheetGuard guard;
  private final OwnershipStrategy ownership = new RendezvousOwnership();
  private final Map<String, String> listedAddresses = new HashMap<>();

  /**
   * Creates the part of a daemon that has just started.
   *
   * @param settings the constants
   */
  public GroupReducer(GroupSettings settings) {
    this.guard = new SheetGuard(settings.sheet());
    this.membership = new MembershipReducer(settings.membership(), guard::status);
  }

  /**
   * Takes one event.
   *
   * @param event the event
   * @return what the host is to do, in order
   */
  public List<Effect> reduce(Event event) {
    if (event instanceof PlatformEvent.VmsListed listed) {
      useAddresses(listed);
    }
    List<Effect> effects = new ArrayList<>();
    if (event instanceof MembershipEvent.ProbeAcked ack && ack.sheet().isPresent()) {
      // Looked up first, because the membership forgets a probe that is answered.
      OptionalLong askedMs = membership.findProbeSentMs(ack.sequence());
      askedMs.ifPresent(
          asked ->
              effects.addAll(
                  guard.answered(ack.nowMs(), ack.memberId(), asked, ack.sheet().get())));
    } else if (event instanceof MembershipEvent.ProbeReceived probe) {
      effects.addAll(
          guard.reduce(
              new SheetEvent.SheetStatusSeen(probe.nowMs(), probe.fromDaemon(), probe.sheet())));
    }
    effects.addAll(guard.reduce(event));
    effects.addAll(membership.reduce(event));
    return effects;
  }

  /**
   * Returns the guard of the sheet.
   *
   * @return the guard, to be asked for the sheet and whether it may be served by
   */
  public SheetGuard guard() {
    return guard;
  }

  /**
   * Returns the membership.
   *
   * @return the membership, to be asked for the live daemons
   */
  public MembershipReducer membership() {
    return membership;
  }

  /**
   * Finds the daemon that owns a target.
   *
   * @param targetId the target
   * @param zone the target's availability zone
   * @return the owner, this daemon perhaps, or empty if no daemon may own targets
   */
  public Optional<Member> findOwner(String targetId, String zone) {
    return ownership.findOwner(targetId, zone, membership.view());
  }

  /**
   * Finds the address of another daemon.
   *
   * @param daemonId the daemon
   * @return the address it told itself, else the listed one, or empty if it is not known
   */
  public Optional<String> findAddress(String daemonId) {
    return membership
        .find(daemonId)
        .map(Member::address)
        .or(() -> Optional.ofNullable(listedAddresses.get(daemonId)));
  }

  private void useAddresses(PlatformEvent.VmsListed event) {
    listedAddresses.clear();
    for (VmEntry vm : event.vms()) {
      if (vm.kind() == VmKind.DAEMON) {
        listedAddresses.put(vm.id(), vm.address());
      }
    }
  }
}
