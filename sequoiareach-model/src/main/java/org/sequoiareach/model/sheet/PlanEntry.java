package org.sequoiareach.model.sheet;

import org.sequoiareach.model.Check;

/**
 * Planned daily volume of one organisation.
 *
 * @param promptTokensPerDay the planned prompt tokens per day
 * @param completionTokensPerDay the planned generated tokens per day
 */
public record PlanEntry(long promptTokensPerDay, long completionTokensPerDay) {

  /** Validates the components. */
  public PlanEntry {
    Check.inRange(promptTokensPerDay, 0, Long.MAX_VALUE, "promptTokensPerDay");
    Check.inRange(completionTokensPerDay, 0, Long.MAX_VALUE, "completionTokensPerDay");
  }
}
