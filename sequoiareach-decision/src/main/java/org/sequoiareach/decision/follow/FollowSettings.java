package org.sequoiareach.decision.follow;

import org.sequoiareach.model.Check;

/**
 * The times of following the store, which all derive from the time within which a change has to be
 * in force: the age at which a daemon reads for itself, the spreading of these reads and one read
 * fit into it.
 *
 * @param changeBoundMs the time within which a change in the store has to be in force everywhere,
 *     in milliseconds
 */
public record FollowSettings(long changeBoundMs) {

  /** The waiting time of the watches of readers, as a divisor of the bound. */
  private static final int POLL_DIVISOR = 3;

  /** The age from which a reading is too old, as a part of the bound. */
  private static final double MAX_AGE_RATIO = 0.55;

  /** The time over which the reads of a crowd are spread, as a divisor of the bound. */
  private static final int SPREAD_DIVISOR = 5;

  /** The longest pause between failed reads, as a divisor of the bound. */
  private static final int MAX_BACKOFF_DIVISOR = 2;

  /** Validates the component. */
  public FollowSettings {
    Check.inRange(changeBoundMs, 1, Integer.MAX_VALUE, "changeBoundMs");
  }

  /** Returns how long a watch of a reader waits for changes, in milliseconds. */
  long pollMs() {
    return Math.max(1, changeBoundMs / POLL_DIVISOR);
  }

  /** Returns the age from which a reading does not confirm anything, in milliseconds. */
  long maxAgeMs() {
    return Math.round(changeBoundMs * MAX_AGE_RATIO);
  }

  /** Returns the time over which reads are spread, in milliseconds. */
  long spreadMs() {
    return changeBoundMs / SPREAD_DIVISOR;
  }

  /** Returns the longest pause between failed reads, in milliseconds. */
  long maxBackoffMs() {
    return changeBoundMs / MAX_BACKOFF_DIVISOR;
  }
}
