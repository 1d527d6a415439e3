package org.sequoiareach.decision.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the target with the fewest calls per slot, and among equals prefers one in this daemon's
 * availability zone. Suits short calls of similar cost.
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
