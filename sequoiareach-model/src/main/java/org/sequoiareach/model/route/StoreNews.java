package org.sequoiareach.model.route;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * What a daemon learned of the store and passes on to others.
 *
 * @param holdings what the sender holds
 * @param reading the youngest reading that the sender knows; empty if it knows none
 * @param delta the changes of targets that the sender has just applied; empty if there are none
 * @param recoveredAgoMs the time since the store was reachable again for the sender, in
 *     milliseconds; empty if entries that expired in an outage should be restored by now
 * @param maintenance the zones in maintenance, so that no holdings are told without them; empty if
 *     the sender does not know them
 */
public record StoreNews(
    StoreHoldings holdings,
    Optional<StoreReading> reading,
    Optional<TargetDelta> delta,
    Optional<Long> recoveredAgoMs,
    Optional<ZoneMaintenance> maintenance) {

  /** Validates the components; an earlier version of a daemon does not send the last one. */
  public StoreNews {
    Check.notNull(holdings, "holdings");
    Check.notNull(reading, "reading");
    Check.notNull(delta, "delta");
    Check.notNull(recoveredAgoMs, "recoveredAgoMs");
    maintenance = maintenance == null ? Optional.empty() : maintenance;
  }
}
