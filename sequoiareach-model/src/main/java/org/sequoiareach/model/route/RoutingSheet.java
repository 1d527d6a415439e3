package org.sequoiareach.model.route;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Holds the whole routing configuration of one version. Immutable.
 *
 * @param revision the store's revision of the write; a later sheet has a higher one
 * @param version the operators' number of the sheet
 * @param routes the routes
 * @param services the services
 * @param limits the limits of callers
 * @param organisations the organisations; empty where requests need no key
 */
public record RoutingSheet(
    long revision,
    long version,
    List<Route> routes,
    List<RoutedService> services,
    CallerLimits limits,
    List<RoutedOrganisation> organisations) {

  /** Checks and copies the parts. */
  public RoutingSheet {
    Check.inRange(revision, 1, Long.MAX_VALUE, "revision");
    Check.notNull(limits, "limits");
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    organisations = List.copyOf(organisations);
  }
}
