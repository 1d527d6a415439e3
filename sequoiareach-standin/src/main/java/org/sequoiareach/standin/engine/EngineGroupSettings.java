package org.sequoiareach.standin.engine;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Holds the settings of several engines that run in one process.
 *
 * @param engines the engines, at least one
 */
public record EngineGroupSettings(List<EngineSettings> engines) {

  /** Checks and copies the parts. */
  public EngineGroupSettings {
    Check.isTrue(engines != null && !engines.isEmpty(), "'engines' must hold at least one engine.");
    engines = List.copyOf(engines);
  }
}
