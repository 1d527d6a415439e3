package org.sequoiareach.model.sheet;

import org.sequoiareach.model.Check;

/**
 * Holds the volume planned for one organisation and day.
 *
 * @param promptTokensPerDay prompt tokens planned for a day
 * @param completionTokensPerDay generated tokens planned for a day
 */
public record PlanEntry(long promptTokensPerDay, long completionTokensPerDay) {

  /** Checks the parts. */
  public PlanEntry {
    Check.inRange(promptTokensPerDay, 0, Long.MAX_VALUE, "promptTokensPerDay");
    Check.inRange(completionTokensPerDay, 0, Long.MAX_VALUE, "completionTokensPerDay");
  }
}
