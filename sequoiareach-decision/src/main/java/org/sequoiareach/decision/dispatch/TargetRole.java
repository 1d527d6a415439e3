package org.sequoiareach.decision.dispatch;

import org.sequoiareach.decision.fleet.TargetTable;
import org.sequoiareach.model.route.RoutedTarget;

/** Follows the targets and what their leaving means for requests. Not thread-safe. */
final class TargetRole {

  private final DispatchContext context;
  private final CallRole calls;

  TargetRole(DispatchContext context, CallRole calls) {
    this.context = context;
    this.calls = calls;
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
    } else if (event instanceof DispatchEvent.StoreSeen seen) {
      targets.storeSeen(nowMs, seen.reachable());
    }
  }

  void tick(long nowMs) {
    context.ledger().expire(nowMs);
    context.targets().tick(nowMs, calls::uses).forEach(target -> leave(nowMs, target));
  }

  private void follow(long nowMs, TargetTable.Change change) {
    change.replaced().forEach(target -> context.log().add(new DispatchEffect.DropTarget(target)));
    change.leaving().forEach(target -> leave(nowMs, target));
  }

  private void leave(long nowMs, RoutedTarget target) {
    noteTarget("target-leaves", target, context.targets().revision());
    context.log().add(new DispatchEffect.DropTarget(target));
    calls.engineLeaves(nowMs, target);
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
