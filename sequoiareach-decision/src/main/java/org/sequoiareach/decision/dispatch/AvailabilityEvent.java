package org.sequoiareach.decision.dispatch;

import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.ZoneMaintenance;

/** An event about what excludes targets from requests, or limits these, for a while. */
public interface AvailabilityEvent extends DispatchEvent {

  /**
   * The zones in maintenance were received.
   *
   * @param nowMs when it was observed
   * @param maintenance all zones in maintenance, and the position up to which they are complete
   * @param source their source: the store or the identifier of a daemon
   */
  record MaintenanceLearned(long nowMs, ZoneMaintenance maintenance, String source)
      implements AvailabilityEvent {}

  /**
   * A target reported how long it stays cold.
   *
   * @param nowMs when it was observed
   * @param target the target, in the incarnation that was asked
   * @param coldMs how long it stays cold, in milliseconds; 0 if it is not cold
   */
  record ColdStated(long nowMs, RoutedTarget target, long coldMs) implements AvailabilityEvent {}

  /**
   * A target answered a request for its report with bytes that are no report.
   *
   * @param nowMs when it was observed
   * @param targetId the identifier of the target
   */
  record ReportInvalid(long nowMs, String targetId) implements AvailabilityEvent {}
}
