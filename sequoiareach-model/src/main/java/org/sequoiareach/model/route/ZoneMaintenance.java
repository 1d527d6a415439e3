package org.sequoiareach.model.route;

import java.util.Set;
import org.sequoiareach.model.Check;

/**
 * The availability zones in maintenance, whose targets get no new requests. Immutable.
 *
 * @param revision the position, see {@link StorePosition}, up to which the zones are complete
 * @param zones the names of all zones in maintenance
 */
public record ZoneMaintenance(long revision, Set<String> zones) {

  /** Validates the components and copies the set. */
  public ZoneMaintenance {
    Check.inRange(revision, 0, Long.MAX_VALUE, "revision");
    zones = Set.copyOf(zones);
  }
}
