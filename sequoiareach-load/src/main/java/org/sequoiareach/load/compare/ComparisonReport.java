package org.sequoiareach.load.compare;

import java.util.ArrayList;
import java.util.List;

/**
 * The results of a policy comparison.
 *
 * @param name the title
 * @param summaries the results by load factor and policy
 * @param runs the report of every run
 */
public record ComparisonReport(
    String name, List<PolicySummary> summaries, List<PolicyReport> runs) {

  /** Copies the components. */
  public ComparisonReport {
    summaries = List.copyOf(summaries);
    runs = List.copyOf(runs);
  }

  /**
   * Creates the report of a comparison.
   *
   * @param name the title
   * @param runs the report of every run
   * @return the report
   */
  public static ComparisonReport of(String name, List<PolicyReport> runs) {
    List<PolicySummary> summaries = new ArrayList<>();
    List<String> policies = runs.stream().map(PolicyReport::policy).distinct().toList();
    runs.stream()
        .map(run -> run.report().loadFactor())
        .distinct()
        .sorted()
        .forEach(
            factor -> policies.forEach(policy -> summaries.add(summarize(policy, factor, runs))));
    return new ComparisonReport(name, summaries, runs);
  }

  /**
   * Returns the number of violated guarantees in all runs.
   *
   * @return the number of violations
   */
  public long violations() {
    return summaries.stream().mapToLong(PolicySummary::violations).sum();
  }

  private static PolicySummary summarize(String policy, double factor, List<PolicyReport> runs) {
    return PolicySummary.of(
        policy,
        factor,
        runs.stream()
            .filter(run -> run.policy().equals(policy) && run.report().loadFactor() == factor)
            .map(PolicyReport::report)
            .toList());
  }
}
