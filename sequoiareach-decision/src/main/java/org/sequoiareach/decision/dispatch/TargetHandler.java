package org.sequoiareach.decision.dispatch;

import java.util.function.Predicate;
import org.sequoiareach.decision.fleet.TargetTable;
import org.sequoiareach.decision.membership.OwnershipStrategy;
import org.sequoiareach.decision.membership.RendezvousOwnership;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.StorePosition;
import org.sequoiareach.model.route.TargetDelta;
import org.sequoiareach.model.route.TargetUpdate;

/** Handles changes of the targets and requests reports from engines. Not thread-safe. */
final class TargetHandler {

  /**
   * The interval of reports from engines in use while the target list is unreliable. A report shows
   * a reclaim half a second after its notice, and two reports fit before the engine is gone.
   */
  private static final long REPORT_INTERVAL_MS = 250;

  /**
   * The interval of reports from owned engines. Reports have a price, and the store announces
   * leaving engines sooner while it is reachable.
   */
  private static final long OWNED_REPORT_INTERVAL_MS = 1_000;

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final MigrationHandler migrations;
  private final LimitHandler limits;
  private final OwnershipStrategy ownership = new RendezvousOwnership();
  private long nextReportMs;
  private long nextOwnedReportMs;

  TargetHandler(
      DispatchContext context,
      ActiveCalls calls,
      MigrationHandler migrations,
      LimitHandler limits) {
    this.limits = limits;
    this.context = context;
    this.calls = calls;
    this.migrations = migrations;
  }

  void apply(DispatchEvent event) {
    TargetTable targets = context.targets();
    long nowMs = event.nowMs();
    if (event instanceof DispatchEvent.TargetsListed listed) {
      context.logDecision(
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
      noticeRestore(nowMs, listed.revision());
      applyChange(nowMs, targets.replaceAll(nowMs, listed.revision(), listed.targets()));
    } else if (event instanceof DispatchEvent.TargetChanged changed) {
      logTarget("target-changed", changed.target(), changed.revision());
      applyChange(nowMs, targets.put(nowMs, changed.revision(), changed.target()));
    } else if (event instanceof DispatchEvent.TargetRemoved removed) {
      context.logDecision(
          "target-removed", "", "", removed.targetId(), "revision=" + removed.revision());
      applyChange(nowMs, targets.remove(nowMs, removed.revision(), removed.targetId()));
    } else if (event instanceof DispatchEvent.TargetLeaves leaves) {
      markLeaving(nowMs, leaves.targetId());
    } else if (event instanceof DispatchEvent.LeavingAnnounced announced) {
      onLeavingAnnounced(announced);
    } else if (event instanceof DispatchEvent.BackoffRequested requested) {
      onBackoffRequested(requested);
    } else if (event instanceof DispatchEvent.NobodyThere nobody) {
      onNobodyThere(nowMs, nobody.targetId());
    } else if (event instanceof DispatchEvent.StoreSeen seen) {
      targets.updateStoreState(nowMs, seen.reachable());
    } else if (event instanceof DispatchEvent.StoreRestored restored) {
      targets.onStoreRestored(nowMs);
      context.logDecision(
          "store-restored",
          "",
          "",
          "",
          "from=" + restored.from() + " to=" + restored.to() + " sheet=" + context.sheetVersion());
    }
  }

  /** Applies changes of targets, whether they come from the store or another daemon. */
  void apply(long nowMs, TargetDelta delta) {
    noticeRestore(nowMs, delta.revision());
    for (TargetUpdate update : delta.updates()) {
      apply(toEvent(nowMs, update));
    }
  }

  static DispatchEvent toEvent(long nowMs, TargetUpdate update) {
    return update
        .target()
        .<DispatchEvent>map(
            target -> new DispatchEvent.TargetChanged(nowMs, update.revision(), target))
        .orElseGet(
            () -> new DispatchEvent.TargetRemoved(nowMs, update.revision(), update.targetId()));
  }

  /** Notices from a position of a later era that the store was restored from an older copy. */
  private void noticeRestore(long nowMs, long position) {
    long known = context.targets().revision();
    if (known == 0 || StorePosition.eraOf(position) <= StorePosition.eraOf(known)) {
      return;
    }
    apply(
        new DispatchEvent.StoreRestored(
            nowMs, StorePosition.format(known), StorePosition.format(position)));
  }

  void tick(long nowMs) {
    context.targetUse().expirePeers(nowMs);
    context.fleetState().expirePeers(nowMs);
    context.targets().expire(nowMs, this::isUsed).forEach(target -> handleLeaving(nowMs, target));
    Predicate<String> known = id -> context.targets().find(id).isPresent();
    context.outcomes().retain(known);
    context.ejection().retain(known);
    context.backoffs().retain(nowMs, known);
    if (nowMs >= nextReportMs) {
      nextReportMs = nowMs + REPORT_INTERVAL_MS;
      requestReports(nowMs);
    }
  }

  /** Marks a target as leaving unless it has been replaced since the request was sent. */
  private void onLeavingAnnounced(DispatchEvent.LeavingAnnounced event) {
    context
        .targets()
        .find(event.target().id())
        .filter(event.target()::isSameIncarnation)
        .flatMap(target -> context.targets().markLeaving(target.id()))
        .ifPresent(
            target -> {
              context.logDecision("leaving-announced", event.requestId(), "", target.id(), "");
              handleLeaving(event.nowMs(), target);
            });
  }

  private void onBackoffRequested(DispatchEvent.BackoffRequested event) {
    if (context.backoffs().record(event.nowMs(), event.targetId(), event.untilMs())) {
      context.logDecision(
          "backoff",
          "",
          "",
          event.targetId(),
          "for=" + (event.untilMs() - event.nowMs()) + "ms answer to " + event.source());
    }
  }

  /** Marks a target as leaving if the store is unreachable and cannot report its removal. */
  private void onNobodyThere(long nowMs, String targetId) {
    if (context.targets().isStoreUnreachable()) {
      markLeaving(nowMs, targetId);
    }
  }

  /** Marks a target as leaving and moves its runs, unless it was marked before. */
  void markLeaving(long nowMs, String targetId) {
    context.targets().markLeaving(targetId).ifPresent(target -> handleLeaving(nowMs, target));
  }

  /** Marks the targets that another daemon reports as leaving. */
  void onPeerStateTold(DispatchEvent.PeerStateTold event) {
    event.leaving().forEach(targetId -> markLeaving(event.nowMs(), targetId));
  }

  /**
   * Requests reports from the engines that this daemon owns, so that each engine is asked by one
   * daemon. While the target list is unreliable, only reports reveal leaving engines, so the daemon
   * also asks the engines that it uses.
   */
  private void requestReports(long nowMs) {
    if (context.index().isEmpty()) {
      return;
    }
    boolean ownedAreDue = nowMs >= nextOwnedReportMs;
    if (ownedAreDue) {
      nextOwnedReportMs = nowMs + OWNED_REPORT_INTERVAL_MS;
    }
    boolean usedAreDue = context.targets().isListUnreliable(nowMs);
    context.index().get().sheet().services().stream()
        .filter(service -> service.engine().filter(EngineTraits::canMoveRuns).isPresent())
        .flatMap(service -> context.findWithoutBackoff(nowMs, service.name()).stream())
        .filter(target -> !context.isInMaintenance(nowMs, target) || isUsed(target.id()))
        .filter(target -> ownedAreDue && isOwned(target) || usedAreDue && isUsed(target.id()))
        .filter(target -> limits.mayReport(nowMs, target))
        .forEach(target -> context.effects().add(new DispatchEffect.AskReport(target)));
  }

  private boolean isUsed(String targetId) {
    return !calls.assignedTo(targetId).isEmpty();
  }

  private boolean isOwned(RoutedTarget target) {
    return ownership
        .findOwner(target.id(), target.zone(), context.membership().view())
        .filter(owner -> context.membership().isSelf(owner.daemonId()))
        .isPresent();
  }

  private void applyChange(long nowMs, TargetTable.Change change) {
    change
        .replaced()
        .forEach(target -> context.effects().add(new DispatchEffect.DropTarget(target)));
    change.leaving().forEach(target -> handleLeaving(nowMs, target));
  }

  private void handleLeaving(long nowMs, RoutedTarget target) {
    logTarget("target-leaves", target, context.targets().revision());
    context.recordLeaving(nowMs, target.id());
    context.effects().add(new DispatchEffect.DropTarget(target));
    migrations.onEngineLeaving(nowMs, target);
  }

  private void logTarget(String decision, RoutedTarget target, long revision) {
    context.logDecision(
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
