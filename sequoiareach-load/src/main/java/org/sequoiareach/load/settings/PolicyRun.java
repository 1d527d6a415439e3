package org.sequoiareach.load.settings;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Names one policy of a comparison and where it runs.
 *
 * @param name the policy's name
 * @param callers base addresses of its daemons
 * @param targets its engines and services, which no other policy uses
 */
public record PolicyRun(String name, List<String> callers, Targets targets) {

  /** Checks and copies the parts. */
  public PolicyRun {
    Check.hasText(name, "name");
    Check.isTrue(callers != null && !callers.isEmpty(), "'callers' must not be empty.");
    callers = List.copyOf(callers);
    targets = targets == null ? Targets.NONE : targets;
  }
}
