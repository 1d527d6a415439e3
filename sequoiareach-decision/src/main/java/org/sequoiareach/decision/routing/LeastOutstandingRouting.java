package org.sequoiareach.decision.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.request.RequestSpec;

/**
 * Routes to the candidate with the fewest attempts of this daemon in progress, breaking ties at
 * random.
 */
public final class LeastOutstandingRouting implements RoutingStrategy {

  private static final int MAX_LOGGED_LOSERS = 3;

  @Override
  public Optional<RouteChoice> choose(
      long nowMs, RequestSpec spec, List<TargetView> candidates, long draw) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    int least = candidates.stream().mapToInt(TargetView::outstanding).min().orElseThrow();
    List<TargetView> best =
        candidates.stream().filter(view -> view.outstanding() == least).toList();
    TargetView chosen = best.get((int) Long.remainderUnsigned(draw, best.size()));
    String reason = "fewest outstanding: " + least;
    return Optional.of(new RouteChoice(chosen.targetId(), reason, losers(candidates, chosen)));
  }

  private static List<String> losers(List<TargetView> candidates, TargetView chosen) {
    List<String> losers = new ArrayList<>();
    for (TargetView view : candidates) {
      if (losers.size() < MAX_LOGGED_LOSERS && view != chosen) {
        losers.add(view.targetId() + "=" + view.outstanding());
      }
    }
    return losers;
  }
}
