package org.sequoiareach.model.route;

/** Says what may be repeated of a request on a route. */
public enum RouteKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once. */
  NON_IDEMPOTENT,
  /** Answers with a series of events of one run, and runs at most once. */
  STREAMING;

  /**
   * Tells whether a request that may have run may be sent again.
   *
   * @return true if it may
   */
  public boolean isRepeatable() {
    return this == IDEMPOTENT;
  }
}
