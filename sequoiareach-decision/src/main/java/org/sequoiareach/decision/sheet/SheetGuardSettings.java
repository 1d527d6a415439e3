package org.sequoiareach.decision.sheet;

import org.sequoiareach.model.Check;

/**
 * Holds the constants of a guard.
 *
 * @param daemonId the identity of this daemon
 * @param boundMs how old the confirmation of a sheet may be
 * @param pauseBoundMs the gap between two ticks beyond which the process is taken to have paused
 * @param seed the seed of the choice of daemons to ask and to tell
 */
public record SheetGuardSettings(String daemonId, long boundMs, long pauseBoundMs, long seed) {

  /** The bound of a daemon in service. */
  public static final long DEFAULT_BOUND_MS = 20_000;

  /** The pause bound of a daemon in service. */
  public static final long DEFAULT_PAUSE_BOUND_MS = 5_000;

  /** Checks the parts. */
  public SheetGuardSettings {
    Check.hasText(daemonId, "daemonId");
    Check.inRange(boundMs, 1, Integer.MAX_VALUE, "boundMs");
    Check.inRange(pauseBoundMs, 1, Integer.MAX_VALUE, "pauseBoundMs");
  }
}
