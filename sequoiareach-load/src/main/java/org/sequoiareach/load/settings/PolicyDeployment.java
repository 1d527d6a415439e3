package org.sequoiareach.load.settings;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Configures a policy under comparison and the deployment that runs it.
 *
 * @param name the name of the policy
 * @param callers base addresses of the policy's daemons, at least one
 * @param targets the engines and services behind these daemons, shared with no other policy
 */
public record PolicyDeployment(String name, List<String> callers, Targets targets) {

  /** Validates and copies the components. */
  public PolicyDeployment {
    Check.hasText(name, "name");
    Check.isTrue(
        callers != null && !callers.isEmpty(),
        "'callers' of policy '" + name + "' must not be empty.");
    callers = List.copyOf(callers);
    targets = targets == null ? Targets.NONE : targets;
  }
}
