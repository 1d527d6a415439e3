package org.sequoiareach.decision.routing;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Result of a routing decision.
 *
 * @param targetId the chosen target
 * @param reason a short explanation for the decision log
 * @param losers the scores of some rejected candidates, for the decision log
 */
public record RouteChoice(String targetId, String reason, List<String> losers) {

  /** Validates the components and copies the list. */
  public RouteChoice {
    Check.hasText(targetId, "targetId");
    losers = List.copyOf(losers);
  }
}
