package org.sequoiareach.decision.speed;

import org.sequoiareach.model.Check;

/**
 * The mean load of an engine during an observation.
 *
 * @param runs the number of runs there
 * @param prefillShare the share of the time in which prompts were prefilled between decode steps
 */
public record EngineLoad(double runs, double prefillShare) {

  /** Validates the components. */
  public EngineLoad {
    Check.isTrue(
        runs >= 0 && Double.isFinite(runs), "'runs' is " + runs + " and must be at least 0.");
    Check.isTrue(
        prefillShare >= 0 && prefillShare <= 1,
        "'prefillShare' is " + prefillShare + " and must be between 0 and 1.");
  }
}
