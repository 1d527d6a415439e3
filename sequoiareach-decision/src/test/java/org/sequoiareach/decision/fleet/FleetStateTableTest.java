package org.sequoiareach.decision.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiareach.model.route.EngineSpeed;
import org.sequoiareach.model.route.FleetState;

class FleetStateTableTest {

  private final FleetStateTable table = new FleetStateTable();

  /** Guards against a sum that overflows, and against one daemon that outweighs all others. */
  @Test
  void boundsObservationsThatOneDaemonReports() {
    EngineSpeed absurd =
        new EngineSpeed(1, Double.MAX_VALUE, Double.MAX_VALUE, 1, Double.MAX_VALUE);
    table.updatePeer(0, "d1", speeds(absurd));
    table.updatePeer(0, "d2", speeds(absurd));
    table.updatePeer(0, "d3", speeds(new EngineSpeed(1, 20, 20, 20, 20)));

    EngineSpeed sum = table.peerTotal().speeds().get("e1");
    assertThat(sum.decodeWeight()).isLessThan(100);
    assertThat(sum.prefillRatio()).isLessThan(100);
  }

  /** Guards against judging engines by a daemon that has been silent for long. */
  @Test
  void forgetsObservationsOfSilentDaemon() {
    table.updatePeer(0, "d1", speeds(new EngineSpeed(1, 20, 20, 20, 20)));
    table.expirePeers(TargetUseTracker.REPORT_TTL_MS);
    assertThat(table.peerTotal().speeds()).isNotEmpty();

    table.expirePeers(TargetUseTracker.REPORT_TTL_MS + 1);
    assertThat(table.peerTotal().speeds()).isEmpty();
  }

  private static FleetState speeds(EngineSpeed speed) {
    return new FleetState(Optional.empty(), Map.of(), Map.of("e1", speed));
  }
}
