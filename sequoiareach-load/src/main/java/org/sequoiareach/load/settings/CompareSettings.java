package org.sequoiareach.load.settings;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Holds the settings of a comparison of policies.
 *
 * @param name the title of the report
 * @param run the file with the settings of each run, relative to this file
 * @param loadFactors the factors on the rate of arrivals
 * @param seeds the seeds; each gives the same trace to every policy
 * @param simultaneous whether the policies run at the same time rather than one after another
 * @param pauseMs the rest between two runs
 * @param policies the policies; the first is compared with the others
 */
public record CompareSettings(
    String name,
    String run,
    List<Double> loadFactors,
    List<Long> seeds,
    boolean simultaneous,
    long pauseMs,
    List<PolicyRun> policies) {

  /** Checks and copies the parts. */
  public CompareSettings {
    Check.hasText(name, "name");
    Check.hasText(run, "run");
    loadFactors = List.copyOf(loadFactors);
    seeds = List.copyOf(seeds);
    policies = List.copyOf(policies);
  }
}
