package org.sequoiareach.decision.dispatch;

import org.sequoiareach.decision.fleet.TargetTable;
import org.sequoiareach.decision.membership.OwnershipStrategy;
import org.sequoiareach.decision.membership.RendezvousOwnership;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.RoutedTarget;

/** Follows the targets and what their leaving means for requests. Not thread-safe. */
final class TargetRole {

  /**
   * An engine's report shows a reclaim half a second after the notice, and two of them fit before
   * the engine is gone.
   */
  private static final long REPORT_MS = 250;

  /** Reports are priced, and the store tells of leaving engines sooner while it is there. */
  private static final long OWNED_REPORT_MS = 500;

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final MoveRole moves;
  private final OwnershipStrategy ownership = new RendezvousOwnership();
  private long nextReportMs;
  private long nextOwnedMs;

  TargetRole(DispatchContext context, ActiveCalls calls, MoveRole moves) {
    this.context = context;
    this.calls = calls;
    this.moves = moves;
  }

  void apply(DispatchEvent event) {
    TargetTable targets = context.targets();
    long nowMs = event.nowMs();
    if (event instanceof DispatchEvent.TargetsListed listed) {
      context.note(
          "targets-listed",
          "",
          "",
          "",
          "revision="
              + listed.revision()
              + " targets="
              + listed.targets().size()
              + " from="
              + listed.source());
      follow(nowMs, targets.list(nowMs, listed.revision(), listed.targets()));
    } else if (event instanceof DispatchEvent.TargetChanged changed) {
      noteTarget("target-changed", changed.target(), changed.revision());
      follow(nowMs, targets.put(nowMs, changed.revision(), changed.target()));
    } else if (event instanceof DispatchEvent.TargetRemoved removed) {
      context.note("target-removed", "", "", removed.targetId(), "revision=" + removed.revision());
      follow(nowMs, targets.remove(nowMs, removed.revision(), removed.targetId()));
    } else if (event instanceof DispatchEvent.TargetLeaves leaves) {
      targets.leaves(leaves.targetId()).ifPresent(target -> leave(nowMs, target));
    } else if (event instanceof DispatchEvent.NobodyThere nobody) {
      nobodyThere(nowMs, nobody.targetId());
    } else if (event instanceof DispatchEvent.StoreSeen seen) {
      targets.storeSeen(nowMs, seen.reachable());
    }
  }

  void tick(long nowMs) {
    context.ledger().expire(nowMs);
    context.targets().tick(nowMs, this::isUsed).forEach(target -> leave(nowMs, target));
    if (nowMs >= nextReportMs) {
      nextReportMs = nowMs + REPORT_MS;
      askReports(nowMs);
    }
  }

  /** Takes a target for gone that the store cannot remove from its list, as it is away. */
  private void nobodyThere(long nowMs, String targetId) {
    if (context.targets().isStoreAway()) {
      context.targets().leaves(targetId).ifPresent(target -> leave(nowMs, target));
    }
  }

  /** Takes over which targets another daemon has seen leave. */
  void peerTold(DispatchEvent.PeerStateTold event) {
    for (String targetId : event.leaving()) {
      context.targets().leaves(targetId).ifPresent(target -> leave(event.nowMs(), target));
    }
  }

  /**
   * Asks the engines that this daemon owns, so that each is asked by one daemon. While the list is
   * in doubt it is the reports that tell of leaving engines, and the daemon asks those it uses too.
   */
  private void askReports(long nowMs) {
    if (context.index().isEmpty()) {
      return;
    }
    boolean ownedAreDue = nowMs >= nextOwnedMs;
    if (ownedAreDue) {
      nextOwnedMs = nowMs + OWNED_REPORT_MS;
    }
    boolean usedAreDue = context.targets().isListInDoubt(nowMs);
    context.index().get().sheet().services().stream()
        .filter(service -> service.engine().filter(EngineTraits::canMoveRuns).isPresent())
        .flatMap(service -> context.targets().placeable(service.name(), nowMs).stream())
        .filter(target -> ownedAreDue && isOwned(target) || usedAreDue && isUsed(target.id()))
        .forEach(target -> context.log().add(new DispatchEffect.AskReport(target)));
  }

  private boolean isUsed(String targetId) {
    return !calls.at(targetId).isEmpty();
  }

  private boolean isOwned(RoutedTarget target) {
    return ownership
        .findOwner(target.id(), target.zone(), context.membership().view())
        .filter(owner -> context.membership().isSelf(owner.daemonId()))
        .isPresent();
  }

  private void follow(long nowMs, TargetTable.Change change) {
    change.replaced().forEach(target -> context.log().add(new DispatchEffect.DropTarget(target)));
    change.leaving().forEach(target -> leave(nowMs, target));
  }

  private void leave(long nowMs, RoutedTarget target) {
    noteTarget("target-leaves", target, context.targets().revision());
    context.noteLeaving(nowMs, target.id());
    context.log().add(new DispatchEffect.DropTarget(target));
    moves.engineLeaves(nowMs, target);
  }

  private void noteTarget(String decision, RoutedTarget target, long revision) {
    context.note(
        decision,
        "",
        "",
        target.id(),
        "service="
            + target.service()
            + " address="
            + target.address()
            + " zone="
            + target.zone()
            + " leaving="
            + target.leaving()
            + " revision="
            + revision);
  }
}
