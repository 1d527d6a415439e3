package org.sequoiareach.standin.engine;

import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * Holds the fault switches of a simulated engine.
 *
 * @param slowdownFactor the factor on the duration of steps; 0 for 1
 * @param stalledMs the time in milliseconds, from setting the switches, during which no step makes
 *     progress; setting the switches again replaces the stall
 * @param dieBeforeFirstToken the number of upcoming generations that fail instead of emitting their
 *     first token
 * @param dieAfterTokens the number of tokens after which every generation fails; 0 for none
 * @param refuse whether new generations are rejected with status 503
 * @param dropConnectionAfterTokens the number of tokens after which the connection of a new stream
 *     is closed while its generation continues; resumed streams are not affected; 0 for none
 * @param loadLagMs the lag of load reports in milliseconds, overriding the settings
 * @param leaving whether the engine rejects new generations and goes down at its reclaim deadline
 * @param down whether the engine is down: it loses all generations and closes all connections;
 *     switching it off restarts the engine with an empty cache
 */
public record EngineFaults(
    double slowdownFactor,
    long stalledMs,
    int dieBeforeFirstToken,
    int dieAfterTokens,
    boolean refuse,
    int dropConnectionAfterTokens,
    OptionalLong loadLagMs,
    boolean leaving,
    boolean down) {

  /** All faults switched off. */
  public static final EngineFaults NONE =
      new EngineFaults(1, 0, 0, 0, false, 0, OptionalLong.empty(), false, false);

  /** Validates the switches and applies defaults to absent ones. */
  public EngineFaults {
    Check.isTrue(slowdownFactor >= 0, "'slowdownFactor' must not be negative.");
    slowdownFactor = slowdownFactor == 0 ? 1 : slowdownFactor;
    Check.inRange(stalledMs, 0, Integer.MAX_VALUE, "stalledMs");
    Check.inRange(dieBeforeFirstToken, 0, Integer.MAX_VALUE, "dieBeforeFirstToken");
    Check.inRange(dieAfterTokens, 0, Integer.MAX_VALUE, "dieAfterTokens");
    Check.inRange(dropConnectionAfterTokens, 0, Integer.MAX_VALUE, "dropConnectionAfterTokens");
    loadLagMs = loadLagMs == null ? OptionalLong.empty() : loadLagMs;
  }
}
