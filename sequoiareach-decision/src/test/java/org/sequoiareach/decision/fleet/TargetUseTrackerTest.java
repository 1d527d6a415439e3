package org.sequoiareach.decision.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sequoiareach.model.route.TargetUse;

class TargetUseTrackerTest {

  private static final TargetUse ONE = new TargetUse(1, 3_000, 4_000);

  private final TargetUseTracker tracker = new TargetUseTracker();

  @Test
  void countsPromptTokensUntilPrefilled() {
    tracker.add("c1", "t1", 3_000, 4_000);
    assertThat(tracker.useOf("t1")).isEqualTo(ONE);

    tracker.markPromptRead("c1", "t1");
    assertThat(tracker.useOf("t1")).isEqualTo(new TargetUse(1, 0, 4_000));

    tracker.remove("c1", "t1");
    assertThat(tracker.useOf("t1")).isEqualTo(TargetUse.NONE);
  }

  @Test
  void dropsExpiredPeerReports() {
    tracker.updatePeer(1_000, "d1", Map.of("t1", ONE));
    tracker.expirePeers(4_000);
    assertThat(tracker.useOf("t1")).isEqualTo(ONE);

    tracker.expirePeers(4_001);
    assertThat(tracker.useOf("t1")).isEqualTo(TargetUse.NONE);
  }

  /** The incrementally updated totals equal totals computed from scratch. */
  @Property(tries = 200)
  void sumsLatestReportOfEachDaemon(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Map<String, Map<String, TargetUse>> last = new HashMap<>();
    TargetUseTracker sums = new TargetUseTracker();
    for (int i = 0; i < 60; i++) {
      String daemon = "d" + random.nextInt(5);
      Map<String, TargetUse> uses = new HashMap<>();
      for (int t = 0; t < 3; t++) {
        if (random.nextBoolean()) {
          uses.put("t" + t, new TargetUse(random.nextInt(4), random.nextInt(9), 1));
        }
      }
      last.put(daemon, uses);
      sums.updatePeer(1_000, daemon, uses);
    }
    for (int t = 0; t < 3; t++) {
      String target = "t" + t;
      TargetUse expected =
          last.values().stream()
              .map(uses -> uses.getOrDefault(target, TargetUse.NONE))
              .reduce(TargetUse.NONE, TargetUse::plus);
      assertThat(sums.useOf(target)).isEqualTo(expected);
    }
  }
}
