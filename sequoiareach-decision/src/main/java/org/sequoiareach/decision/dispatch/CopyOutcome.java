package org.sequoiareach.decision.dispatch;

/** The outcome of copying the memory of a run to another engine. */
public enum CopyOutcome {
  /** The copy is complete up to the events that the source reported. */
  COPIED,
  /** The source has no such run. */
  NO_RUN,
  /** Another copy of the run is in progress. */
  BUSY,
  /** The destination has no free memory or is unreachable. */
  NO_ROOM,
  /** No connection to the source could be established, so it is gone or out of reach. */
  UNREACHABLE,
  /** No response was received, so the state of the copy, and of an order to stop, is unknown. */
  UNKNOWN
}
