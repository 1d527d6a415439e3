package org.sequoiareach.model.route;

import java.util.List;
import java.util.OptionalInt;
import org.sequoiareach.model.Check;

/**
 * Describes an organisation whose callers use keys.
 *
 * @param name the organisation
 * @param keys the keys of its callers
 * @param priority the rank of its requests, which goes before that of their route
 */
public record RoutedOrganisation(String name, List<String> keys, OptionalInt priority) {

  /** Checks and copies the parts. */
  public RoutedOrganisation {
    Check.hasText(name, "name");
    Check.notNull(priority, "priority");
    keys = List.copyOf(keys);
  }
}
