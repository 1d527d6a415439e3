package org.sequoiareach.load.settings;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Settings of a policy comparison.
 *
 * @param name the title of the report
 * @param run the file with the run settings, relative to this file
 * @param loadFactors the multipliers of the arrival rate
 * @param seeds the trace seeds; every policy receives the same trace for a seed
 * @param simultaneous whether the policies run concurrently rather than sequentially
 * @param pauseMs the pause between runs in milliseconds
 * @param policies the policies; the first is the baseline that the others are compared with
 */
public record CompareSettings(
    String name,
    String run,
    List<Double> loadFactors,
    List<Long> seeds,
    boolean simultaneous,
    long pauseMs,
    List<PolicyDeployment> policies) {

  /** Validates and copies the components. */
  public CompareSettings {
    Check.hasText(name, "name");
    Check.hasText(run, "run");
    loadFactors = List.copyOf(loadFactors);
    seeds = List.copyOf(seeds);
    policies = List.copyOf(policies);
  }
}
