package org.sequoiareach.decision.dispatch;

/** The outcome of opening a connection to a target. */
public enum ProbeOutcome {
  /** The target accepted the connection. */
  REACHED,
  /** The connection was refused, as nothing listens at the address. */
  REFUSED,
  /** Nothing was learned, because the attempt timed out or was not made. */
  UNKNOWN
}
