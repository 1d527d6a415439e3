package org.sequoiareach.decision.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.model.request.RequestSpec;

/** Routes to the candidates of each model or service in turn, regardless of load. */
public final class RoundRobinRouting implements RoutingStrategy {

  private final Map<String, Integer> turns = new HashMap<>();

  @Override
  public Optional<RouteChoice> choose(
      long nowMs, RequestSpec spec, List<TargetView> candidates, long draw) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    int turn = turns.merge(spec.resource(), 1, (old, one) -> (old + one) & Integer.MAX_VALUE);
    TargetView chosen = candidates.get((turn - 1 & Integer.MAX_VALUE) % candidates.size());
    return Optional.of(new RouteChoice(chosen.targetId(), "next in turn", List.of()));
  }
}
