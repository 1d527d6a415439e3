package org.sequoiareach.decision.maintenance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.StorePosition;
import org.sequoiareach.model.route.ZoneMaintenance;

/**
 * Table of the availability zones in maintenance.
 *
 * <p>Each statement is complete up to a position in the store, so the one of the highest position
 * replaces the others. A store that was restored from an older copy may lack an entry that was
 * written since; its writer writes it again, so until {@value #RESTORE_MS} ms after the restore a
 * missing entry does not end a maintenance. Not thread-safe: confined to the control thread.
 */
public final class MaintenanceTable {

  /** The time within which the operators write lost entries to a restored store again. */
  static final long RESTORE_MS = 2_000;

  private Optional<ZoneMaintenance> known = Optional.empty();
  private final Map<String, Long> retainedUntilMs = new HashMap<>();
  private long restoreEndMs = Long.MIN_VALUE;

  /**
   * Adopts a statement that is newer than what is known.
   *
   * @param nowMs the current time
   * @param told the statement
   * @return whether it is newer
   */
  public boolean adopt(long nowMs, ZoneMaintenance told) {
    Check.notNull(told, "told");
    if (known.isPresent() && told.revision() <= known.get().revision()) {
      return false;
    }
    Set<String> before = zones(nowMs);
    if (known.isPresent()
        && StorePosition.eraOf(told.revision()) > StorePosition.eraOf(known.get().revision())) {
      restoreEndMs = nowMs + RESTORE_MS;
    }
    if (nowMs < restoreEndMs) {
      before.forEach(zone -> retainedUntilMs.put(zone, restoreEndMs));
    }
    known = Optional.of(told);
    return true;
  }

  /**
   * Returns the latest statement of the store.
   *
   * @return the zones and their position; empty before the first statement
   */
  public Optional<ZoneMaintenance> known() {
    return known;
  }

  /**
   * Returns the position up to which the zones are known.
   *
   * @return the position; 0 before the first statement
   */
  public long revision() {
    return known.map(ZoneMaintenance::revision).orElse(0L);
  }

  /**
   * Returns the zones in maintenance.
   *
   * @param nowMs the current time
   * @return the names of the zones
   */
  public Set<String> zones(long nowMs) {
    Set<String> zones = new HashSet<>(known.map(ZoneMaintenance::zones).orElse(Set.of()));
    retainedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    zones.addAll(retainedUntilMs.keySet());
    return zones;
  }

  /**
   * Returns whether a zone is in maintenance.
   *
   * @param nowMs the current time
   * @param zone the name of the zone
   * @return true if its targets get no new requests
   */
  public boolean isInMaintenance(long nowMs, String zone) {
    return known.filter(statement -> statement.zones().contains(zone)).isPresent()
        || retainedUntilMs.getOrDefault(zone, Long.MIN_VALUE) > nowMs;
  }
}
