package org.sequoiareach.model.route;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * One version of the complete routing configuration. Immutable.
 *
 * @param revision the position in the history of the store at which the sheet was written; it
 *     increases with each sheet
 * @param version the version number assigned by the operators
 * @param routes the routes
 * @param services the services
 * @param limits the limits on callers
 * @param organisations the organisations; empty if requests need no API key
 */
public record RoutingSheet(
    long revision,
    long version,
    List<Route> routes,
    List<RoutedService> services,
    CallerLimits limits,
    List<RoutedOrganisation> organisations) {

  /** Validates the components and copies the lists. */
  public RoutingSheet {
    Check.inRange(revision, 1, Long.MAX_VALUE, "revision");
    Check.notNull(limits, "limits");
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    organisations = List.copyOf(organisations);
  }
}
