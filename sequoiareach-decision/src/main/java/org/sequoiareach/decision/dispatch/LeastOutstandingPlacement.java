package org.sequoiareach.decision.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Takes the target with the fewest calls for its slots, and one in this daemon's availability zone
 * among equals. Answers a load of short calls that differ little in their work.
 */
final class LeastOutstandingPlacement implements PlacementStrategy {

  @Override
  public Optional<Candidate> choose(
      Optional<GenerationDemand> demand, List<Candidate> candidates, long draw) {
    Comparator<Candidate> order =
        Comparator.comparingDouble(
                (Candidate candidate) ->
                    (double) candidate.use().calls() / candidate.target().slots())
            .thenComparing(candidate -> !candidate.sameZone())
            .thenComparingLong(candidate -> candidate.target().id().hashCode() ^ draw);
    return candidates.stream().min(order);
  }
}
