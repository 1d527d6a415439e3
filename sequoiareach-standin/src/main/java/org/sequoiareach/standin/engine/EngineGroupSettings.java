package org.sequoiareach.standin.engine;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Holds the settings of one or more simulated engines that run in one process.
 *
 * @param engines the engines, at least one
 */
public record EngineGroupSettings(List<EngineSettings> engines) {

  /** Validates and copies the settings. */
  public EngineGroupSettings {
    Check.isTrue(
        engines != null && !engines.isEmpty(), "'engines' must contain at least one engine.");
    engines = List.copyOf(engines);
  }
}
