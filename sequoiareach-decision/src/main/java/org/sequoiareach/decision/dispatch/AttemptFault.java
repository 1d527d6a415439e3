package org.sequoiareach.decision.dispatch;

/** Says how an attempt at a target failed, and what that means for the request. */
public enum AttemptFault {
  /** No byte of the request reached the target. */
  NOT_SENT(false, true),
  /** Nothing listens at the target's address any more. */
  NOBODY_THERE(false, true),
  /** The target said that it did not run the request, as it is full. */
  REJECTED(false, false),
  /** Another target has the address; it did not run the request. */
  WRONG_TARGET(false, true),
  /** The daemon was paused, so the attempt was not sent. */
  OUTDATED(false, false),
  /** The connection was lost, so the request may have run. */
  LOST(true, true),
  /** The target answered with an error of its own, which is kept. */
  SERVER_ERROR(true, true),
  /** The answer was not whole, or belongs to another request. */
  BROKEN_ANSWER(true, true);

  private final boolean mayHaveRun;
  private final boolean targetToBlame;

  AttemptFault(boolean mayHaveRun, boolean targetToBlame) {
    this.mayHaveRun = mayHaveRun;
    this.targetToBlame = targetToBlame;
  }

  /**
   * Tells whether the target may have run the request.
   *
   * @return true if it may
   */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /**
   * Tells whether the failure speaks against the target.
   *
   * @return true if it does
   */
  public boolean targetToBlame() {
    return targetToBlame;
  }

  /**
   * Tells whether the request arrived at the target.
   *
   * @return true if it did or may have
   */
  public boolean arrived() {
    return this != NOT_SENT && this != NOBODY_THERE && this != OUTDATED;
  }
}
