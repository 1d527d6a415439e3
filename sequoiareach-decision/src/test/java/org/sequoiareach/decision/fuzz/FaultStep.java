package org.sequoiareach.decision.fuzz;

/**
 * Step of a fault script.
 *
 * @param fault the fault
 * @param subject the number of the daemon or target affected
 * @param forMs the duration in milliseconds, for faults that have one
 */
record FaultStep(Fault fault, int subject, int forMs) {

  /** Kind of fault. */
  enum Fault {
    KILL_DAEMON,
    PAUSE_DAEMON,
    PAUSE_AFTER_DECISION,
    STOP_DAEMON,
    CUT_DAEMONS,
    CUT_TARGET,
    KILL_TARGET,
    LEAVE_TARGET,
    KEY_VALUE_DOWN,
    DROP_CLAIM_ANSWERS,
    EXPORT_SHEET
  }
}
