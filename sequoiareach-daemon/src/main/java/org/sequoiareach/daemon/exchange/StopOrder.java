package org.sequoiareach.daemon.exchange;

import org.sequoiareach.decision.dispatch.CopyOutcome;

/** What is known of an order to an engine to stop a run, so that another engine continues it. */
enum StopOrder {
  /** None was sent, or the engine refused it. */
  NONE,
  /** Its outcome is not known yet. */
  SENT,
  /** The engine has stopped the run, or the outcome will stay unknown. */
  MAY_BE_CARRIED_OUT;

  /** Returns what the outcome of the final copy, which the order asks for, says of the order. */
  static StopOrder of(CopyOutcome outcome) {
    boolean refused = outcome == CopyOutcome.NO_RUN || outcome == CopyOutcome.BUSY;
    return refused ? NONE : MAY_BE_CARRIED_OUT;
  }
}
