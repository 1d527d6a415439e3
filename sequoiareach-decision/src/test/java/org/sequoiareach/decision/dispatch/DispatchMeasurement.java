package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.TargetUse;

/** Measures the processing time of events at several fleet sizes. Run manually. */
final class DispatchMeasurement {

  private static final int WARM_UP = 3_000;
  private static final int ROUNDS = 2_000;
  private static final int OPEN_CALLS = 500;
  private static final double NANOS_PER_MICRO = 1_000;

  private final DispatchReducer reducer =
      new DispatchReducer(
          new DispatchSettings("z0", 7, 0.2, 10_000, 52, 3_500, 2_000),
          new MembershipSettings("10.0.0.1:1", "10.0.0.1:1", "z0", 1, 7));
  private final int engines;
  private final int peers;
  private long nowMs = 100_000;
  private int sequence;

  private DispatchMeasurement(int engines, int peers) {
    this.engines = engines;
    this.peers = peers;
  }

  /**
   * Prints the median processing times in microseconds.
   *
   * @param args pairs of the number of engines and the number of daemons that report their use
   */
  public static void main(String[] args) {
    for (int i = 0; i < args.length; i += 2) {
      int engines = Integer.parseInt(args[i]);
      int peers = Integer.parseInt(args[i + 1]);
      new DispatchMeasurement(engines, peers).run();
    }
  }

  private void run() {
    List<RoutedTarget> targets = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      targets.add(DispatchFixture.target(DispatchFixture.ENGINES, i, 24));
    }
    reducer.apply(new DispatchEvent.SheetLearned(nowMs, DispatchFixture.sheet(1, "k1"), "store"));
    reducer.apply(new DispatchEvent.TargetsListed(nowMs, 10, targets, "store"));
    tellPeers();
    double[] arrivals = new double[ROUNDS];
    double[] ticks = new double[ROUNDS];
    for (int i = -WARM_UP; i < ROUNDS; i++) {
      nowMs += 28;
      int slot = Math.max(0, i);
      arrivals[slot] = time(arrival());
      ticks[slot] = time(new TimeEvent.Ticked(nowMs));
      if (i % 30 == 0) {
        tellPeers();
      }
    }
    System.out.printf(
        "engines=%d peers=%d arrival=%.1f us tick=%.1f us open=%d%n",
        engines, peers, median(arrivals), median(ticks), Math.min(OPEN_CALLS, sequence));
  }

  private void tellPeers() {
    for (int peer = 0; peer < peers; peer++) {
      Map<String, TargetUse> uses = new HashMap<>();
      for (int i = 0; i < Math.min(10, engines); i++) {
        uses.put(DispatchFixture.ENGINES + (peer * 7 + i) % engines, new TargetUse(1, 500, 3_000));
      }
      reducer.apply(
          new DispatchEvent.PeerStateTold(
              nowMs, "peer" + peer, 1, 10, uses, List.of(), Map.of(), 1, false, 1));
    }
  }

  private Event arrival() {
    sequence++;
    if (sequence > OPEN_CALLS) {
      reducer.apply(new DispatchEvent.CallerLeft(nowMs, "c" + (sequence - OPEN_CALLS)));
    }
    GenerationDemand demand =
        new GenerationDemand("m", 3_000, 2_000, OptionalLong.of(900), List.of());
    return new DispatchEvent.CallArrived(
        nowMs,
        "c" + sequence,
        new CallProfile(
            "r" + sequence,
            DispatchFixture.HOST,
            "/draft/1",
            Optional.of("k1"),
            nowMs,
            nowMs + 39_000,
            Optional.of(demand)),
        Optional.empty());
  }

  private double time(Event event) {
    long startNs = System.nanoTime();
    reducer.apply(event);
    return (System.nanoTime() - startNs) / NANOS_PER_MICRO;
  }

  private static double median(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }
}
