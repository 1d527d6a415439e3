package org.sequoiareach.standin.engine;

import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * Holds the fault switches of an engine stand-in.
 *
 * @param slowdownFactor the factor on the duration of steps; 0 for 1
 * @param stalledMs milliseconds without any progress after the switches are set; setting them anew
 *     ends the stall
 * @param dieBeforeFirstToken how many of the next generations die in place of their first token
 * @param dieAfterTokens the token after which every generation dies; 0 for none
 * @param refuse whether new generations are answered 503
 * @param dropConnectionAfterTokens the token after which the connection of a new generation is
 *     lost, while the generation goes on; resumed streams are spared; 0 for none
 * @param loadLagMs the age of load reports in place of the one of the settings
 * @param leaving whether the engine refuses new generations, and dies at its reclaim deadline
 * @param down whether the engine is dead: it loses all generations and drops all connections;
 *     switching it off starts an engine with empty memory
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

  /** The switches with every fault off. */
  public static final EngineFaults NONE =
      new EngineFaults(1, 0, 0, 0, false, 0, OptionalLong.empty(), false, false);

  /** Checks the parts and sets the absent ones. */
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
