package org.sequoiareach.decision.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BinaryOperator;
import java.util.function.Predicate;
import org.sequoiareach.decision.speed.SpeedBounds;
import org.sequoiareach.model.route.EngineSpeed;
import org.sequoiareach.model.route.FleetState;
import org.sequoiareach.model.route.WaitingDemand;
import org.sequoiareach.model.route.ZoneMaintenance;

/**
 * Table of the state that daemons tell each other: this daemon's own and the latest reports of
 * others, each valid for {@value TargetUseTracker#REPORT_TTL_MS} ms. Not thread-safe: confined to
 * the control thread.
 */
public final class FleetStateTable {

  private final Map<String, PeerReport> peers = new HashMap<>();
  private Optional<ZoneMaintenance> maintenance = Optional.empty();
  private Map<String, WaitingDemand> demand = Map.of();
  private Map<String, EngineSpeed> speeds = Map.of();
  private Optional<FleetState> peerTotal = Optional.empty();

  /**
   * Sets the zones in maintenance that this daemon knows.
   *
   * @param known the zones
   */
  public void setMaintenance(ZoneMaintenance known) {
    maintenance = Optional.of(known);
  }

  /**
   * Sets the calls that wait at this daemon.
   *
   * @param waiting the demand by service, without services that have none
   */
  public void setDemand(Map<String, WaitingDemand> waiting) {
    demand = Map.copyOf(waiting);
  }

  /**
   * Sets this daemon's recent observations of engines.
   *
   * @param observed the observations by target identity
   */
  public void setSpeeds(Map<String, EngineSpeed> observed) {
    speeds = Map.copyOf(observed);
  }

  /**
   * Replaces the report of another daemon.
   *
   * @param nowMs the current time
   * @param daemonId the identity of the other daemon
   * @param state its state
   */
  public void updatePeer(long nowMs, String daemonId, FleetState state) {
    Map<String, EngineSpeed> bounded = new HashMap<>();
    state.speeds().forEach((id, speed) -> bounded.put(id, SpeedBounds.bound(speed)));
    FleetState plausible = new FleetState(state.maintenance(), state.demand(), bounded);
    peers.put(daemonId, new PeerReport(nowMs, plausible));
    peerTotal = Optional.empty();
  }

  /**
   * Replaces the reports of all other daemons.
   *
   * @param nowMs the current time
   * @param daemonId the identity of the daemon that added them up
   * @param state the sum
   */
  public void updateAllPeers(long nowMs, String daemonId, FleetState state) {
    peers.clear();
    updatePeer(nowMs, daemonId, state);
  }

  /**
   * Removes expired reports of other daemons.
   *
   * @param nowMs the current time
   */
  public void expirePeers(long nowMs) {
    boolean expired =
        peers
            .values()
            .removeIf(report -> nowMs - report.receivedAtMs > TargetUseTracker.REPORT_TTL_MS);
    if (expired) {
      peerTotal = Optional.empty();
    }
  }

  /**
   * Returns the state of this daemon alone.
   *
   * @return the state
   */
  public FleetState local() {
    return new FleetState(maintenance, demand, speeds);
  }

  /**
   * Returns the sum of the reports of all other daemons.
   *
   * @return the sum, without zones in maintenance
   */
  public FleetState peerTotal() {
    if (peerTotal.isEmpty()) {
      peerTotal = Optional.of(add(Map.of(), Map.of(), Optional.empty(), daemonId -> true));
    }
    return peerTotal.get();
  }

  /**
   * Adds up the state of this daemon and of a part of the others.
   *
   * @param included selects the daemons whose reports are included
   * @return the sum, with the zones in maintenance that this daemon knows
   */
  public FleetState sumOf(Predicate<String> included) {
    return add(demand, speeds, maintenance, included);
  }

  private FleetState add(
      Map<String, WaitingDemand> ownDemand,
      Map<String, EngineSpeed> ownSpeeds,
      Optional<ZoneMaintenance> ownMaintenance,
      Predicate<String> included) {
    Map<String, WaitingDemand> demands = new HashMap<>(ownDemand);
    Map<String, EngineSpeed> sums = new HashMap<>(ownSpeeds);
    peers.forEach(
        (daemonId, report) -> {
          if (included.test(daemonId)) {
            mergeAll(demands, report.state.demand(), WaitingDemand::plus);
            mergeAll(sums, report.state.speeds(), EngineSpeed::plus);
          }
        });
    return new FleetState(ownMaintenance, demands, sums);
  }

  private static <T> void mergeAll(
      Map<String, T> sums, Map<String, T> added, BinaryOperator<T> op) {
    added.forEach((key, value) -> sums.merge(key, value, op));
  }

  private record PeerReport(long receivedAtMs, FleetState state) {}
}
