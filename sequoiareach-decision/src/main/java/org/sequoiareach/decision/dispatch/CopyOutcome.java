package org.sequoiareach.decision.dispatch;

/** Says how a copy of a run's memory to another engine ended. */
public enum CopyOutcome {
  /** The copy is complete up to the events told. */
  COPIED,
  /** The source runs no such request. */
  NO_RUN,
  /** Another copy of the run is under way. */
  BUSY,
  /** The destination has no room or cannot be reached. */
  NO_ROOM,
  /** The answer did not come, so nothing is known. */
  UNKNOWN
}
