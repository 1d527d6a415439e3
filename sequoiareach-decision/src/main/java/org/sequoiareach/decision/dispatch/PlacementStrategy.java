package org.sequoiareach.decision.dispatch;

import java.util.List;
import java.util.Optional;

/** Strategy that chooses a target for a call. Implementations are stateless. */
interface PlacementStrategy {

  /**
   * Chooses a target.
   *
   * @param demand the resource demand of a generation; empty for a plain request
   * @param candidates the targets to choose from
   * @param draw a random number that breaks ties
   * @return the chosen target, or empty if none has capacity
   */
  Optional<Candidate> choose(
      Optional<GenerationDemand> demand, List<Candidate> candidates, long draw);
}
