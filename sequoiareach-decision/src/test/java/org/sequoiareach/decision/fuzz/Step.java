package org.sequoiareach.decision.fuzz;

/**
 * Is one fault of a script.
 *
 * @param fault what happens
 * @param subject what it happens to, by number
 * @param forMs how long it lasts, where it lasts
 */
record Step(Fault fault, int subject, int forMs) {

  /** Names the faults. */
  enum Fault {
    KILL_DAEMON,
    FREEZE_DAEMON,
    FREEZE_AFTER_DECISION,
    STOP_DAEMON,
    CUT_DAEMONS,
    CUT_TARGET,
    KILL_TARGET,
    LEAVE_TARGET,
    KEY_VALUE_DOWN,
    LOSE_CLAIM_ANSWERS,
    EXPORT_SHEET
  }
}
