package org.sequoiareach.model.route;

import java.util.List;
import java.util.OptionalInt;
import org.sequoiareach.model.Check;

/**
 * Organisation whose callers authenticate with API keys.
 *
 * @param name the name of the organisation
 * @param keys the API keys of its callers
 * @param priority the priority of its requests, which overrides that of the route; empty to use the
 *     route's
 */
public record RoutedOrganisation(String name, List<String> keys, OptionalInt priority) {

  /** Validates the components and copies the lists. */
  public RoutedOrganisation {
    Check.hasText(name, "name");
    Check.notNull(priority, "priority");
    keys = List.copyOf(keys);
  }
}
