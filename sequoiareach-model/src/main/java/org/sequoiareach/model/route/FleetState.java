package org.sequoiareach.model.route;

import java.util.Map;
import java.util.Optional;

/**
 * What daemons tell each other about the fleet beside the use of targets. Immutable.
 *
 * @param maintenance the zones in maintenance; empty if the sender does not know them
 * @param demand the calls that wait at the sender or at all daemons that it sums up, by service
 * @param speeds the recent observations of engines, summed up likewise, by target identity
 */
public record FleetState(
    Optional<ZoneMaintenance> maintenance,
    Map<String, WaitingDemand> demand,
    Map<String, EngineSpeed> speeds) {

  /** The state of a daemon that has nothing to tell. */
  public static final FleetState NONE = new FleetState(Optional.empty(), Map.of(), Map.of());

  /** Copies the collections; an earlier version of a daemon does not send them. */
  public FleetState {
    maintenance = maintenance == null ? Optional.empty() : maintenance;
    demand = demand == null ? Map.of() : Map.copyOf(demand);
    speeds = speeds == null ? Map.of() : Map.copyOf(speeds);
  }
}
