package org.sequoiareach.decision.dispatch;

import java.util.Set;
import org.sequoiareach.model.route.RoutedService;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.WarmUpTraits;

/** Tracks which targets are cold, from their entries, their reports and their starts. */
final class WarmUpHandler {

  private final DispatchContext context;
  private Set<String> cold = Set.of();

  WarmUpHandler(DispatchContext context) {
    this.context = context;
  }

  /** Considers a change of the targets, before it is applied. */
  void onTargetsChanged(DispatchEvent event) {
    if (event instanceof DispatchEvent.TargetChanged changed) {
      record(event.nowMs(), changed.target(), true);
    } else if (event instanceof DispatchEvent.TargetsListed listed) {
      listed.targets().forEach(target -> record(event.nowMs(), target, false));
    }
  }

  void onColdStated(AvailabilityEvent.ColdStated event) {
    context.warmUps().recordStatement(event.nowMs(), event.target(), event.coldMs());
  }

  void tick(long nowMs) {
    context.warmUps().retain(id -> context.targets().find(id).isPresent());
    Set<String> now = context.warmUps().cold(nowMs);
    now.stream()
        .filter(id -> !cold.contains(id))
        .sorted()
        .forEach(id -> context.logDecision("target-cold", "", "", id, describe(nowMs, id)));
    cold.stream()
        .filter(id -> !now.contains(id))
        .sorted()
        .forEach(id -> context.logDecision("target-warm", "", "", id, ""));
    cold = now;
  }

  /** Returns the number of cold targets. */
  int coldCount() {
    return cold.size();
  }

  private void record(long nowMs, RoutedTarget target, boolean written) {
    boolean sameIncarnation =
        context.targets().find(target.id()).filter(target::isSameIncarnation).isPresent();
    // The first list does not tell when its targets were started.
    boolean started = !sameIncarnation && context.targets().hasList();
    long startMs = started ? startMs(target.service()) : 0;
    context.warmUps().recordEntry(nowMs, target, written, startMs);
  }

  private long startMs(String service) {
    return context
        .index()
        .flatMap(index -> index.findService(service))
        .flatMap(RoutedService::warmUp)
        .map(WarmUpTraits::startMs)
        .orElse(0L);
  }

  private String describe(long nowMs, String targetId) {
    return context
        .targets()
        .find(targetId)
        .map(
            target ->
                "for="
                    + (context.warmUps().findEndMs(nowMs, target).orElse(nowMs) - nowMs)
                    + "ms perSecond="
                    + context.findColdRate(nowMs, target).orElse(0))
        .orElse("");
  }
}
