package org.sequoiareach.load.compare;

import org.sequoiareach.load.report.RunReport;
import org.sequoiareach.model.Check;

/**
 * Holds the report of one run of one policy.
 *
 * @param policy the policy's name
 * @param report the report
 */
public record PolicyReport(String policy, RunReport report) {

  /** Checks the parts. */
  public PolicyReport {
    Check.hasText(policy, "policy");
    Check.notNull(report, "report");
  }
}
