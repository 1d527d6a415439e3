package org.sequoiareach.decision.routing;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Holds a choice of target.
 *
 * @param targetId the target
 * @param reason why it won, in short, for the log
 * @param losers the scores of candidates that lost, in short, for the log
 */
public record RouteChoice(String targetId, String reason, List<String> losers) {

  /** Checks and copies the parts. */
  public RouteChoice {
    Check.hasText(targetId, "targetId");
    losers = List.copyOf(losers);
  }
}
