package org.sequoiareach.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

/** The duration estimators of all services, whose engines may differ in speed. Not thread-safe. */
final class RunDurationRegistry {

  private final Map<String, RunDurationEstimator> estimators = new HashMap<>();

  /** Returns the estimator of a service. */
  RunDurationEstimator getEstimator(String service) {
    return estimators.computeIfAbsent(service, name -> new RunDurationEstimator());
  }
}
