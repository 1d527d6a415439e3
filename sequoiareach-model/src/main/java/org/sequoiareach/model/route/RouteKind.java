package org.sequoiareach.model.route;

/** Kind of requests on a route, which determines whether they are repeatable. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request runs at most once. */
  NON_IDEMPOTENT,
  /** A request runs at most once, and the events of that run are streamed to the caller. */
  STREAMING;

  /**
   * Checks whether a request that may have run may be retried.
   *
   * @return true if it may be retried
   */
  public boolean isRepeatable() {
    return this == IDEMPOTENT;
  }
}
