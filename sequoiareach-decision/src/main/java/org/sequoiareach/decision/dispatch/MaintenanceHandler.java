package org.sequoiareach.decision.dispatch;

import java.util.Optional;
import java.util.Set;
import org.sequoiareach.model.route.StorePosition;
import org.sequoiareach.model.route.ZoneMaintenance;

/**
 * Adopts the zones in maintenance that the store or another daemon states, and passes a change on
 * at once, so that a daemon that cannot read the store learns of it. Not thread-safe.
 */
final class MaintenanceHandler {

  private final DispatchContext context;
  private final StoreFollowHandler follow;
  private Set<String> inForce = Set.of();

  MaintenanceHandler(DispatchContext context, StoreFollowHandler follow) {
    this.context = context;
    this.follow = follow;
  }

  void onLearned(long nowMs, ZoneMaintenance told, String source) {
    final Optional<ZoneMaintenance> before = context.maintenance().known();
    if (!context.maintenance().adopt(nowMs, told)) {
      return;
    }
    context.fleetState().setMaintenance(told);
    updateInForce(nowMs, source);
    follow.onHoldingsChanged();
    if (!told.zones().equals(before.map(ZoneMaintenance::zones).orElse(Set.of()))) {
      follow.tell(nowMs, Optional.empty());
    }
  }

  /** Ends a maintenance that a restored store no longer lists. */
  void tick(long nowMs) {
    updateInForce(nowMs, "restored store");
  }

  /** Returns the number of zones in maintenance. */
  int zoneCount() {
    return inForce.size();
  }

  private void updateInForce(long nowMs, String source) {
    Set<String> zones = context.maintenance().zones(nowMs);
    if (zones.equals(inForce)) {
      return;
    }
    zones.stream()
        .filter(zone -> !inForce.contains(zone))
        .sorted()
        .forEach(zone -> log("zone-maintenance-started", zone, source));
    inForce.stream()
        .filter(zone -> !zones.contains(zone))
        .sorted()
        .forEach(zone -> log("zone-maintenance-ended", zone, source));
    inForce = zones;
  }

  private void log(String decision, String zone, String source) {
    String position = StorePosition.format(context.maintenance().revision());
    context.logDecision(
        decision, "", "", "", "zone=" + zone + " position=" + position + " from=" + source);
  }
}
