package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.model.route.Route;
import org.sequoiareach.model.route.RoutedOrganisation;
import org.sequoiareach.model.route.RoutedService;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.WeightedService;

/** Index of the routes, services and organisations of one routing sheet. Immutable. */
final class RouteIndex {

  private final RoutingSheet sheet;
  private final Map<String, List<Route>> byHost = new HashMap<>();
  private final Map<String, RoutedOrganisation> byKey = new HashMap<>();
  private final Map<String, RoutedService> services = new HashMap<>();

  RouteIndex(RoutingSheet sheet) {
    this.sheet = sheet;
    for (Route route : sheet.routes()) {
      byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
    byHost.values().forEach(routes -> routes.sort(longestFirst));
    for (RoutedOrganisation organisation : sheet.organisations()) {
      organisation.keys().forEach(key -> byKey.put(key, organisation));
    }
    sheet.services().forEach(service -> services.put(service.name(), service));
  }

  RoutingSheet sheet() {
    return sheet;
  }

  /** Finds the route of a host with the longest prefix that matches a path. */
  Optional<Route> find(String host, String path) {
    return byHost.getOrDefault(host, List.of()).stream()
        .filter(route -> path.startsWith(route.prefix()))
        .findFirst();
  }

  Optional<RoutedOrganisation> findOrganisation(String key) {
    return Optional.ofNullable(byKey.get(key));
  }

  Optional<RoutedService> findService(String name) {
    return Optional.ofNullable(services.get(name));
  }

  boolean requiresKey(Route route) {
    return !route.publicAccess() && !sheet.organisations().isEmpty();
  }

  /** Chooses the service of a request at random, by the weights of its route. */
  static String chooseService(Route route, long draw) {
    long sum = route.services().stream().mapToLong(WeightedService::weight).sum();
    if (sum == 0) {
      return route.services().get(0).service();
    }
    long left = Long.remainderUnsigned(draw, sum);
    for (WeightedService part : route.services()) {
      left -= part.weight();
      if (left < 0) {
        return part.service();
      }
    }
    throw new IllegalStateException(
        "The service weights of route " + route.name() + " do not add up to " + sum + ".");
  }
}
