package org.sequoiareach.decision.budget;

import org.sequoiareach.model.Check;

/**
 * Holds the settings of leasing portions of a plan.
 *
 * @param portionsPerPlan into how many portions a day's plan is divided
 * @param askAgainMs how long to wait after the ledger could not be written, in milliseconds
 */
public record BudgetSettings(int portionsPerPlan, long askAgainMs) {

  private static final BudgetSettings DEFAULTS = new BudgetSettings(400, 1_000);

  /** Checks the parts. */
  public BudgetSettings {
    Check.inRange(portionsPerPlan, 1, 1_000_000, "portionsPerPlan");
    Check.inRange(askAgainMs, 1, Long.MAX_VALUE, "askAgainMs");
  }

  /**
   * Returns the settings used where none are given.
   *
   * @return the defaults
   */
  public static BudgetSettings defaults() {
    return DEFAULTS;
  }
}
