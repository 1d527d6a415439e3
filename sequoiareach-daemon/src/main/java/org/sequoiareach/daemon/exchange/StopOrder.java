package org.sequoiareach.daemon.exchange;

/** What is known of the orders to an engine to stop a run, so that another engine continues it. */
enum StopOrder {
  /** None was sent, or the engine refused each of them. */
  NONE,
  /** At least one is in progress, and the engine refused all others. */
  SENT,
  /** At least one may have been carried out, and none is known to have been. */
  MAY_BE_CARRIED_OUT,
  /** The engine has stopped the run. */
  CARRIED_OUT
}
