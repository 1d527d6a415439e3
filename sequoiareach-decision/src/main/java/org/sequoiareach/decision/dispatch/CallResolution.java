package org.sequoiareach.decision.dispatch;

import java.util.Optional;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.route.Route;
import org.sequoiareach.model.route.RoutedOrganisation;

/**
 * The result of resolving a request against the routing sheet.
 *
 * @param route the matching route; empty if the request is refused
 * @param organisation the caller's organisation; empty on public routes
 * @param refusal the reason for a refusal; empty if the request is allowed
 */
record CallResolution(
    Optional<Route> route, Optional<RoutedOrganisation> organisation, Optional<Reason> refusal) {

  /** Resolves the route and organisation of a request. */
  static CallResolution resolve(RouteIndex index, CallProfile profile) {
    Optional<Route> route = index.find(profile.host(), profile.path());
    if (route.isEmpty()) {
      return refused(Reason.NOT_FOUND);
    }
    if (!index.requiresKey(route.get())) {
      return new CallResolution(route, Optional.empty(), Optional.empty());
    }
    Optional<RoutedOrganisation> organisation = profile.key().flatMap(index::findOrganisation);
    if (organisation.isEmpty()) {
      return refused(Reason.UNKNOWN_KEY);
    }
    return new CallResolution(route, organisation, Optional.empty());
  }

  private static CallResolution refused(Reason reason) {
    return new CallResolution(Optional.empty(), Optional.empty(), Optional.of(reason));
  }
}
