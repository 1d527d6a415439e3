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
 * Combines {@link MembershipReducer}, {@link OwnershipStrategy} and {@link SheetGuard}, which share
 * the messages between daemons: probes and acknowledgements also carry the status of the sheet.
 * Accepts every event and ignores those that concern none of the three. Not thread-safe.
 */
public final class GroupReducer {

  private final MembershipReducer membership;
  private final SheetGuard sheetGuard;
  private final OwnershipStrategy ownership = new RendezvousOwnership();
  private final Map<String, String> listedAddresses = new HashMap<>();

  /**
   * Creates the reducer of a daemon that has just started.
   *
   * @param settings the settings
   */
  public GroupReducer(GroupSettings settings) {
    this.sheetGuard = new SheetGuard(settings.sheet());
    this.membership = new MembershipReducer(settings.membership(), sheetGuard::status);
  }

  /**
   * Handles one event.
   *
   * @param event the event
   * @return the effects for the host to perform, in order
   */
  public List<Effect> reduce(Event event) {
    if (event instanceof PlatformEvent.VmsListed listed) {
      updateListedAddresses(listed);
    }
    List<Effect> effects = new ArrayList<>();
    if (event instanceof MembershipEvent.ProbeAcked ack && ack.sheet().isPresent()) {
      // Must precede membership.reduce(), which removes the acknowledged probe.
      OptionalLong sentMs = membership.findProbeSentMs(ack.sequence());
      sentMs.ifPresent(
          probedMs ->
              effects.addAll(
                  sheetGuard.handleStatusAnswer(
                      ack.nowMs(), ack.memberId(), probedMs, ack.sheet().get())));
    } else if (event instanceof MembershipEvent.ProbeReceived probe) {
      effects.addAll(
          sheetGuard.reduce(
              new SheetEvent.SheetStatusSeen(probe.nowMs(), probe.fromDaemon(), probe.sheet())));
    }
    effects.addAll(sheetGuard.reduce(event));
    effects.addAll(membership.reduce(event));
    return effects;
  }

  /**
   * Returns the guard of the sheet.
   *
   * @return the guard, which provides the sheet and decides whether to serve with it
   */
  public SheetGuard sheetGuard() {
    return sheetGuard;
  }

  /**
   * Returns the membership.
   *
   * @return the membership, which provides the live daemons
   */
  public MembershipReducer membership() {
    return membership;
  }

  /**
   * Finds the daemon that owns a target.
   *
   * @param targetId the identity of the target
   * @param zone the availability zone of the target
   * @return the owner, possibly the local daemon, or empty if no daemon is eligible
   */
  public Optional<Member> findOwner(String targetId, String zone) {
    return ownership.findOwner(targetId, zone, membership.view());
  }

  /**
   * Finds the address of another daemon.
   *
   * @param daemonId the identity of the daemon
   * @return the IP address and port known to the membership, else those in the VM list, or empty if
   *     the daemon is unknown
   */
  public Optional<String> findAddress(String daemonId) {
    return membership
        .find(daemonId)
        .map(Member::address)
        .or(() -> Optional.ofNullable(listedAddresses.get(daemonId)));
  }

  private void updateListedAddresses(PlatformEvent.VmsListed event) {
    listedAddresses.clear();
    for (VmEntry vm : event.vms()) {
      if (vm.kind() == VmKind.DAEMON) {
        listedAddresses.put(vm.id(), vm.address());
      }
    }
  }
}
