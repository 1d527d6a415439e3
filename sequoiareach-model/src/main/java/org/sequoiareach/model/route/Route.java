package org.sequoiareach.model.route;

import java.util.List;
import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * Describes requests that are handled alike.
 *
 * @param name the route
 * @param host the host that requests name, in lower case
 * @param prefix the start of their paths; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeLimitMs the longest time a request is kept waiting, in milliseconds
 * @param targetLatencyMs the time within which an answer, or the first event of a stream, is to
 *     come, in milliseconds
 * @param targetGapMs the longest pause between events of a stream that is on time, in milliseconds
 * @param priority the rank of its requests; 0 is the most urgent
 * @param services the services that share its traffic; one at least
 * @param maxTargets the most targets that may run one request
 * @param publicAccess whether requests need no key
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

  /** Checks and copies the parts. */
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
    Check.isTrue(!services.isEmpty(), "'services' of route " + name + " must not be empty.");
  }
}
