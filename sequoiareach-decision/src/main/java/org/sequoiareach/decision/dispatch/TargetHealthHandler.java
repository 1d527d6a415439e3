package org.sequoiareach.decision.dispatch;

import java.util.List;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.TargetOutcomes;

/**
 * Judges targets by the outcomes of attempts, and ejects those that fail far more often than the
 * other targets of their service. Not thread-safe.
 *
 * <p>Answers the load of a target that fails a part of its requests while its health checks pass:
 * its failures are rarely consecutive, and each daemon alone sees few of them. Requests that fail
 * at every target raise the failures of all and eject none.
 */
final class TargetHealthHandler {

  /** The failures below which a target is never ejected by its rate. */
  private static final int MIN_FAILURES = 3;

  /** The attempts at the other targets below which there is nothing to compare with. */
  private static final int MIN_OTHER_ATTEMPTS = 4;

  /** How far the failures must exceed the expected number, in standard deviations. */
  private static final double MIN_DEVIATIONS = 3;

  private final DispatchContext context;

  TargetHealthHandler(DispatchContext context) {
    this.context = context;
  }

  void onSuccess(long nowMs, String targetId) {
    context.ejection().recordSuccess(targetId);
    context.outcomes().record(nowMs, targetId, true);
  }

  void onFailure(long nowMs, String targetId) {
    if (context.targets().find(targetId).isEmpty()) {
      return;
    }
    context.outcomes().record(nowMs, targetId, false);
    if (context.ejection().recordFailure(nowMs, targetId, context.randomLong())) {
      logEjection(targetId, "consecutive failures");
      return;
    }
    ejectIfOutlier(nowMs, targetId);
  }

  /** Counts a report of wrong bytes like an answer of wrong bytes to a request. */
  void onReportInvalid(AvailabilityEvent.ReportInvalid event) {
    context.logDecision("report-invalid", "", "", event.targetId(), "counted as a failure");
    onFailure(event.nowMs(), event.targetId());
  }

  void onPeerStateTold(DispatchEvent.PeerStateTold event) {
    context
        .outcomes()
        .updatePeer(event.nowMs(), event.daemonId(), event.outcomes())
        .forEach(targetId -> ejectIfOutlier(event.nowMs(), targetId));
  }

  private void ejectIfOutlier(long nowMs, String targetId) {
    List<RoutedTarget> siblings =
        context
            .targets()
            .find(targetId)
            .map(target -> context.targets().findAvailable(target.service(), nowMs))
            .orElse(List.of());
    TargetOutcomes own = context.outcomes().totalOf(nowMs, targetId);
    TargetOutcomes others =
        siblings.stream()
            .filter(sibling -> !sibling.id().equals(targetId))
            .map(sibling -> context.outcomes().totalOf(nowMs, sibling.id()))
            .reduce(TargetOutcomes.NONE, TargetOutcomes::plus);
    if (isOutlier(own, others)
        && context.ejection().ejectForFailures(nowMs, targetId, context.randomLong())) {
      logEjection(
          targetId,
          "failures="
              + own.failures()
              + "/"
              + own.attempts()
              + " others="
              + others.failures()
              + "/"
              + others.attempts());
    }
  }

  /** Compares the failures of a target with those expected at the rate of its siblings. */
  static boolean isOutlier(TargetOutcomes own, TargetOutcomes others) {
    if (own.failures() < MIN_FAILURES || others.attempts() < MIN_OTHER_ATTEMPTS) {
      return false;
    }
    double rate = (others.failures() + 1.0) / (others.attempts() + 2.0);
    double expected = own.attempts() * rate;
    return own.failures() > expected + MIN_DEVIATIONS * Math.sqrt(expected * (1 - rate));
  }

  private void logEjection(String targetId, String inputs) {
    context.logDecision("eject", "", "", targetId, inputs);
  }
}
