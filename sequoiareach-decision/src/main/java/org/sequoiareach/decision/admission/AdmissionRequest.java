package org.sequoiareach.decision.admission;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.WaitingDemand;

/**
 * The inputs of one decision. Immutable.
 *
 * @param call the call
 * @param waiting whether it waits already; false for one that has just arrived
 * @param placeable whether an engine was found that the strategy accepts and that has memory
 * @param engines the load of the engines of the service
 * @param own the other calls that wait at this daemon
 * @param peers the calls that wait at other daemons
 * @param pace the pace of the engines
 * @param silent this daemon's share if no other daemon reports; empty while others report
 */
public record AdmissionRequest(
    WaitingCall call,
    boolean waiting,
    boolean placeable,
    List<EngineLoad> engines,
    WaitingDemand own,
    WaitingDemand peers,
    ServicePace pace,
    Optional<FleetShare> silent) {

  /** Validates the components and copies the list. */
  public AdmissionRequest {
    Check.notNull(call, "call");
    Check.notNull(own, "own");
    Check.notNull(peers, "peers");
    Check.notNull(pace, "pace");
    Check.notNull(silent, "silent");
    engines = List.copyOf(engines);
  }
}
