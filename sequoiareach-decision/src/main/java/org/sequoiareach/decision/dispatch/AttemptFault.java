package org.sequoiareach.decision.dispatch;

/** Classifies the failure of an attempt and what it implies for retries. */
public enum AttemptFault {
  /** No byte of the request reached the target. */
  NOT_SENT(false, true),
  /** No process listens at the target's address any more. */
  NOBODY_THERE(false, true),
  /** The target was at capacity and reported that it did not run the request. */
  REJECTED(false, false),
  /** The address now belongs to another target, which did not run the request. */
  WRONG_TARGET(false, true),
  /** The attempt was not sent in time, because the daemon was paused. */
  OUTDATED(false, false),
  /** The connection was lost, so the request may have run. */
  LOST(true, true),
  /** The target answered with a status of rejections without stating that it ran nothing. */
  UNCONFIRMED_REJECTION(true, true),
  /** The target answered with an error of its own, which is held for delivery to the caller. */
  SERVER_ERROR(true, true),
  /** The answer was incomplete or belongs to another request. */
  BROKEN_ANSWER(true, true);

  private final boolean mayHaveRun;
  private final boolean countsAgainstTarget;

  AttemptFault(boolean mayHaveRun, boolean countsAgainstTarget) {
    this.mayHaveRun = mayHaveRun;
    this.countsAgainstTarget = countsAgainstTarget;
  }

  /**
   * Returns whether the target may have run the request.
   *
   * @return true if it may have
   */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /**
   * Returns whether outlier ejection counts the failure against the target.
   *
   * @return true if it does
   */
  public boolean countsAgainstTarget() {
    return countsAgainstTarget;
  }

  /**
   * Returns whether the failure says anything about the target.
   *
   * @return false if the daemon itself did not send the request
   */
  public boolean concernsTarget() {
    return reachedTarget() || countsAgainstTarget;
  }

  /**
   * Returns whether the request reached the target, including when that is uncertain.
   *
   * @return true if it did or may have
   */
  public boolean reachedTarget() {
    return this != NOT_SENT && this != NOBODY_THERE && this != OUTDATED;
  }
}
