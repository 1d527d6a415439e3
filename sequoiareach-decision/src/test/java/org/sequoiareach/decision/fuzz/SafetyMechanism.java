package org.sequoiareach.decision.fuzz;

/** Mechanism that can be disabled to show that the checker detects its absence. */
enum SafetyMechanism {
  /** State from before a pause of the process is read again before use. */
  PAUSE_DETECTION,
  /** An attempt is not sent after its send deadline. */
  SEND_DEADLINE,
  /** Non-repeatable calls claim their idempotency key first. */
  CLAIMS,
  /** Tokens are delivered once, in order, and from a single generation. */
  GENERATION_CHECK,
  /** A failure with an unknown outcome is not reported as not-run. */
  VERDICTS,
  /** A stopping daemon waits for requests in progress. */
  DRAIN
}
