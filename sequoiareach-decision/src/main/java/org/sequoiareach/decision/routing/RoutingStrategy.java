package org.sequoiareach.decision.routing;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.request.RequestSpec;

/**
 * Chooses a target for a request.
 *
 * <p>All candidates are live, serve the model or service of the request and have not been tried for
 * this request yet.
 *
 * <p>Not thread-safe: confined to the control thread.
 */
public interface RoutingStrategy {

  /**
   * Chooses a target.
   *
   * @param nowMs the current time
   * @param spec the request
   * @param candidates the targets to choose from, in a stable order
   * @param draw a random number for this choice; equal inputs give equal choices
   * @return the choice, or empty if there is no candidate
   */
  Optional<RouteChoice> choose(
      long nowMs, RequestSpec spec, List<TargetView> candidates, long draw);

  /**
   * Returns the target that should be included if the candidates are only a sample of all targets.
   *
   * @param spec the request
   * @return the target, or empty if there is no preference
   */
  default Optional<String> findPreferred(RequestSpec spec) {
    return Optional.empty();
  }
}
