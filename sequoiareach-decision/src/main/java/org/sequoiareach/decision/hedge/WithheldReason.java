package org.sequoiareach.decision.hedge;

import java.util.Locale;

/** Tells why a late request was not sent to a second target. */
public enum WithheldReason {
  /** The share of hedged requests is used up. */
  HEDGE_BUDGET,
  /** The retry budget has no more than the retries that are kept for failures. */
  RETRY_BUDGET,
  /** Few slots are free at the targets of the service. */
  BUSY,
  /** Hedged attempts rarely win. */
  RARELY_WINS,
  /** No other target accepts the request now. */
  NO_TARGET,
  /** The route allows no further target. */
  MAX_TARGETS,
  /** A quarantine or a suspicion concerns the request. */
  QUARANTINE,
  /** The daemon is about to stop. */
  DRAINING;

  /**
   * Returns the name in metrics and log lines.
   *
   * @return the name in lower case, with hyphens
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
