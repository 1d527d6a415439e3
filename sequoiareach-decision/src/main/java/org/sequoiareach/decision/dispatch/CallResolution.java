package org.sequoiareach.decision.dispatch;

import java.util.Optional;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.route.Route;
import org.sequoiareach.model.route.RoutedOrganisation;

/**
 * Says what the sheet allows a request.
 *
 * @param route its route; empty where it is refused
 * @param organisation its caller's organisation; empty on public routes
 * @param refusal why it is refused; empty where it is not
 */
record CallResolution(
    Optional<Route> route, Optional<RoutedOrganisation> organisation, Optional<Reason> refusal) {

  /** Resolves a request by a sheet. */
  static CallResolution resolve(RouteIndex index, CallProfile profile) {
    Optional<Route> route = index.find(profile.host(), profile.path());
    if (route.isEmpty()) {
      return refused(Reason.NOT_FOUND);
    }
    if (!index.needsKey(route.get())) {
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
