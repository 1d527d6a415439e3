package org.sequoiareach.decision.follow;

import org.sequoiareach.model.Check;

/**
 * The times of following the store, which all derive from the time within which a change has to be
 * in force. An answer to a watch that is lost leaves its connection silent, so the wait of a watch,
 * the patience after it and a read of all keys fit into that time; so do the age at which a daemon
 * reads for itself, the spreading of these reads and one read.
 *
 * @param changeBoundMs the time within which a change in the store has to be in force everywhere,
 *     in milliseconds
 */
public record FollowSettings(long changeBoundMs) {

  /** The waiting time of the watches of readers, as a divisor of the bound. */
  private static final int POLL_DIVISOR = 3;

  /** The waiting time of a watch in a small fleet, as a divisor of the bound. */
  private static final int SMALL_FLEET_POLL_DIVISOR = 2;

  /** The longest time for which the store lets a watch wait, in milliseconds. */
  private static final long MAX_POLL_MS = 30_000;

  /** The shortest patience after the wait of a watch, as a divisor of the bound. */
  private static final int PATIENCE_DIVISOR = 8;

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

  /** Returns how long a watch of a reader of a large fleet waits for changes, in milliseconds. */
  long readerPollMs() {
    return Math.max(1, Math.min(MAX_POLL_MS, changeBoundMs / POLL_DIVISOR));
  }

  /** Returns how long a watch of a daemon of a small fleet waits for changes, in milliseconds. */
  long smallFleetPollMs() {
    return Math.max(1, Math.min(MAX_POLL_MS, changeBoundMs / SMALL_FLEET_POLL_DIVISOR));
  }

  /**
   * Returns how late the answer to a watch may be before it counts as lost if the store usually
   * answers at once, in milliseconds. Twice of it still keeps the bound.
   */
  long patienceMs() {
    return Math.max(1, changeBoundMs / PATIENCE_DIVISOR);
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
