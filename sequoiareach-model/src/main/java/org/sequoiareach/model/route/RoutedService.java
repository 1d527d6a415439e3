package org.sequoiareach.model.route;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Describes a service to which routes lead.
 *
 * @param name the service
 * @param connectionLimit the most connections that one of its targets takes from all daemons
 * @param engine what is known of its engines; empty for a plain service
 */
public record RoutedService(String name, int connectionLimit, Optional<EngineTraits> engine) {

  /** Checks the parts. */
  public RoutedService {
    Check.hasText(name, "name");
    Check.inRange(connectionLimit, 1, Integer.MAX_VALUE, "connectionLimit");
    Check.notNull(engine, "engine");
  }
}
