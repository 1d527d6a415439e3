package org.sequoiareach.model.route;

import java.util.List;
import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * Route: the requests for one host and path prefix, which share services and time limits.
 *
 * @param name the name of the route
 * @param host the host of the requests, in lower case
 * @param prefix the path prefix of the requests; begins and ends with a slash
 * @param kind whether requests are repeatable or streamed
 * @param timeLimitMs the maximum time that a request waits, in milliseconds
 * @param targetLatencyMs the target time to the answer, or to the first event of a stream, in
 *     milliseconds
 * @param targetGapMs the target for the maximum time between events of a stream, in milliseconds
 * @param priority the priority of the requests; 0 is the highest
 * @param services the services between which the traffic is split, at least one
 * @param maxTargets the maximum number of targets that may run one request
 * @param publicAccess whether requests need no API key
 */
public record Route(
    String name,
    String host,
    String prefix,
    RouteKind kind,
    long timeLimitMs,
    long targetLatencyMs,
    OptionalLong targetGapMs,
    int priority,
    List<WeightedService> services,
    int maxTargets,
    boolean publicAccess) {

  /** Validates the components and copies the lists. */
  public Route {
    Check.hasText(name, "name");
    Check.hasText(host, "host");
    Check.isTrue(
        prefix != null && prefix.startsWith("/") && prefix.endsWith("/"),
        "'prefix' is '" + prefix + "' and must begin and end with a slash.");
    Check.notNull(kind, "kind");
    Check.inRange(timeLimitMs, 1, Integer.MAX_VALUE, "timeLimitMs");
    Check.inRange(targetLatencyMs, 1, Integer.MAX_VALUE, "targetLatencyMs");
    Check.notNull(targetGapMs, "targetGapMs");
    Check.inRange(maxTargets, 1, Integer.MAX_VALUE, "maxTargets");
    services = List.copyOf(services);
    Check.isTrue(!services.isEmpty(), "'services' of route '" + name + "' must not be empty.");
  }
}
