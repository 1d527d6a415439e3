package org.sequoiareach.decision.budget;

import org.sequoiareach.model.Check;

/**
 * Settings for leasing portions of a daily plan.
 *
 * @param portionsPerPlan the number of portions into which a daily plan is divided
 * @param askAgainMs the delay before a failed ledger write is retried, in milliseconds
 */
public record BudgetSettings(int portionsPerPlan, long askAgainMs) {

  private static final BudgetSettings DEFAULTS = new BudgetSettings(400, 1_000);

  /** Validates the settings. */
  public BudgetSettings {
    Check.inRange(portionsPerPlan, 1, 1_000_000, "portionsPerPlan");
    Check.inRange(askAgainMs, 1, Long.MAX_VALUE, "askAgainMs");
  }

  /**
   * Returns the default settings.
   *
   * @return the default settings
   */
  public static BudgetSettings defaults() {
    return DEFAULTS;
  }
}
