package org.sequoiareach.model.route;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Service to which requests are routed.
 *
 * @param name the name of the service
 * @param connectionLimit the maximum number of connections of all daemons to one of its targets
 * @param engine the properties of its model engines; empty for a plain service
 */
public record RoutedService(String name, int connectionLimit, Optional<EngineTraits> engine) {

  /** Validates the components. */
  public RoutedService {
    Check.hasText(name, "name");
    Check.inRange(connectionLimit, 1, Integer.MAX_VALUE, "connectionLimit");
    Check.notNull(engine, "engine");
  }
}
