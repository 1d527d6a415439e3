package org.sequoiareach.decision.sheet;

import org.sequoiareach.model.Check;

/**
 * Settings of a {@link SheetGuard}.
 *
 * @param daemonId the identity of this daemon
 * @param boundMs the maximum age in milliseconds of the confirmation of a sheet, above which the
 *     daemon is not ready
 * @param pauseBoundMs the interval in milliseconds between two ticks above which the process is
 *     considered to have been paused
 * @param seed the random seed for the choice of daemons to query and to notify
 */
public record SheetGuardSettings(String daemonId, long boundMs, long pauseBoundMs, long seed) {

  /** The maximum age of a confirmation in production. */
  public static final long DEFAULT_BOUND_MS = 20_000;

  /** The pause detection threshold in production. */
  public static final long DEFAULT_PAUSE_BOUND_MS = 5_000;

  /** Validates the settings. */
  public SheetGuardSettings {
    Check.hasText(daemonId, "daemonId");
    Check.inRange(boundMs, 1, Integer.MAX_VALUE, "boundMs");
    Check.inRange(pauseBoundMs, 1, Integer.MAX_VALUE, "pauseBoundMs");
  }
}
