package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * Recent outcomes of attempts at a target, as seen by one or more daemons.
 *
 * @param successes the number of attempts that succeeded
 * @param failures the number of attempts that failed through the target's fault
 */
public record TargetOutcomes(int successes, int failures) {

  /** The outcomes of a target without attempts. */
  public static final TargetOutcomes NONE = new TargetOutcomes(0, 0);

  /** Validates the components. */
  public TargetOutcomes {
    Check.inRange(successes, 0, Integer.MAX_VALUE, "successes");
    Check.inRange(failures, 0, Integer.MAX_VALUE, "failures");
  }

  /**
   * Adds other outcomes.
   *
   * @param other the outcomes to add
   * @return the sum
   */
  public TargetOutcomes plus(TargetOutcomes other) {
    return new TargetOutcomes(successes + other.successes, failures + other.failures);
  }

  /**
   * Returns the number of attempts.
   *
   * @return the number of successes and failures
   */
  public int attempts() {
    return successes + failures;
  }
}
