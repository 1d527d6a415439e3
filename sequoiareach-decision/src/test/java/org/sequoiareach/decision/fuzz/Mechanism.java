package org.sequoiareach.decision.fuzz;

/** Names the mechanisms that can be switched off, to show that the oracle misses them. */
enum Mechanism {
  /** What was known before a pause of the process is read again before it is used. */
  PAUSE_DETECTION,
  /** A decision is not carried out when it is old. */
  SEND_BOUND,
  /** Calls that may not be repeated claim their key first. */
  CLAIMS,
  /** Parts of an answer pass once, in order, and from a single generation. */
  GENERATION_GUARD,
  /** A failure that leaves open whether the call ran is not reported as not-run. */
  VERDICTS,
  /** A daemon told to stop waits for what is in progress. */
  DRAIN
}
