package org.sequoiareach.decision.dispatch;

import java.util.List;
import java.util.Optional;

/** Chooses a target for a request. Implementations keep no state. */
interface PlacementStrategy {

  /**
   * Chooses a target.
   *
   * @param demand what the request needs; empty for a plain request
   * @param candidates the targets that may take it
   * @param draw a number drawn at random, which decides between equals
   * @return the target, or empty if none has room
   */
  Optional<Candidate> choose(
      Optional<GenerationDemand> demand, List<Candidate> candidates, long draw);
}
