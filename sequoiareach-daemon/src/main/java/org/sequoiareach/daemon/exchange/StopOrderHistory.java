package org.sequoiareach.daemon.exchange;

import org.sequoiareach.daemon.dialect.EngineControl.CopyResult;
import org.sequoiareach.decision.dispatch.CopyOutcome;

/**
 * Keeps what is known of the orders to one engine to stop the run of a request.
 *
 * <p>The response to an order says nothing of the other ones: an order without a response stays
 * possible, whatever the engine answers to a later one. Only a confirmed stop settles it. Not
 * thread-safe.
 */
final class StopOrderHistory {

  private int inProgress;
  private boolean withoutResponse;
  private boolean unreachable;
  private boolean confirmed;

  /** Records that an order is sent. */
  void recordOrder() {
    inProgress++;
  }

  /** Records the result of an order. */
  void recordResult(CopyResult result) {
    inProgress--;
    CopyOutcome outcome = result.outcome();
    if (outcome == CopyOutcome.COPIED || !result.handle().isEmpty()) {
      confirmed = true;
      withoutResponse = false;
      return;
    }
    boolean refused = outcome == CopyOutcome.NO_RUN || outcome == CopyOutcome.BUSY;
    boolean notSent = outcome == CopyOutcome.UNREACHABLE;
    unreachable |= notSent;
    withoutResponse |= !refused && !notSent;
  }

  /**
   * Records that a further attempt is sent to the engine. What ended an earlier run does not end
   * the one of this attempt, unlike an order without a response, which may still arrive.
   */
  void recordAttempt() {
    confirmed = false;
    unreachable = false;
  }

  /** Returns what is known of all orders. */
  StopOrder state() {
    if (confirmed) {
      return StopOrder.CARRIED_OUT;
    }
    if (withoutResponse || unreachable) {
      return StopOrder.MAY_BE_CARRIED_OUT;
    }
    return inProgress > 0 ? StopOrder.SENT : StopOrder.NONE;
  }
}
