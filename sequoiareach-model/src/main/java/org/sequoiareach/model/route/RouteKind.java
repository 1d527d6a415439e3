package org.sequoiareach.model.route;

/** Kind of requests on a route, which determines whether they are repeatable. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request runs at most once. */
  NON_IDEMPOTENT,
  /** A request runs at most once, and the events of that run are streamed to the caller. */
  STREAMING,
  /**
   * A request may run more than once, and its events are streamed to the caller. A later run
   * continues after the last event that the caller received.
   */
  RESUMABLE_STREAMING;

  /**
   * Checks whether a request that may have run may be retried.
   *
   * @return true if it may be retried
   */
  public boolean isRepeatable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAMING;
  }

  /**
   * Checks whether the answer is a stream of events.
   *
   * @return true if it is
   */
  public boolean isStreaming() {
    return this == STREAMING || this == RESUMABLE_STREAMING;
  }
}
