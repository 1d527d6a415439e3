package org.sequoiareach.load.compare;

import org.sequoiareach.load.report.RunReport;
import org.sequoiareach.model.Check;

/**
 * The report of a single run of a policy.
 *
 * @param policy the name of the policy
 * @param report the report of the run
 */
public record PolicyReport(String policy, RunReport report) {

  /** Validates the components. */
  public PolicyReport {
    Check.hasText(policy, "policy");
    Check.notNull(report, "report");
  }
}
