package org.sequoiareach.model.route;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Service to which requests are routed.
 *
 * @param name the name of the service
 * @param connectionLimit the maximum number of connections of all daemons to one of its targets
 * @param engine the properties of its model engines; empty for a plain service
 * @param warmUp how many requests its cold targets take; empty if that is not limited
 */
public record RoutedService(
    String name,
    int connectionLimit,
    Optional<EngineTraits> engine,
    Optional<WarmUpTraits> warmUp) {

  /** Validates the components; an earlier version of a daemon does not send the last one. */
  public RoutedService {
    Check.hasText(name, "name");
    Check.inRange(connectionLimit, 1, Integer.MAX_VALUE, "connectionLimit");
    Check.notNull(engine, "engine");
    warmUp = warmUp == null ? Optional.empty() : warmUp;
  }

  /** Creates a service whose cold targets take as many requests as others. */
  public RoutedService(String name, int connectionLimit, Optional<EngineTraits> engine) {
    this(name, connectionLimit, engine, Optional.empty());
  }
}
