package org.sequoiareach.decision.routing;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.request.RequestSpec;

/**
 * Chooses a target for a request. Not thread-safe: it belongs to the control thread.
 *
 * <p>The candidates are live, serve the request's model or service, and were not tried before for
 * this request.
 */
public interface RoutingStrategy {

  /**
   * Chooses a target.
   *
   * @param nowMs the time now
   * @param spec the request
   * @param candidates the targets that may be chosen, in a stable order
   * @param draw a number drawn at random for this choice; equal inputs give equal choices
   * @return the choice, or empty if there is no candidate
   */
  Optional<RouteChoice> choose(
      long nowMs, RequestSpec spec, List<TargetView> candidates, long draw);

  /**
   * Finds the target that should be among the candidates where they are only a sample.
   *
   * @param spec the request
   * @return the target, or empty if any sample is as good
   */
  default Optional<String> findPreferred(RequestSpec spec) {
    return Optional.empty();
  }
}
