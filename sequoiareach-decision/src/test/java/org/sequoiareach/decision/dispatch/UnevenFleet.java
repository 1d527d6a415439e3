package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.route.CallerLimits;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.Route;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedOrganisation;
import org.sequoiareach.model.route.RoutedService;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.WeightedService;

/**
 * Simulates daemons that place long runs (drafts) and short ones (checks) on engines of uneven
 * speed, while the demand of each zone swings.
 */
final class UnevenFleet extends AbstractFleet {

  static final long SETTLED_MS = 12_000;
  private static final long GAP_MS = 180;
  private static final long DRAFT_LATENCY_MS = 1_806;
  private static final long CHECK_LATENCY_MS = 1_504;
  private static final double DRAFTS_PER_MS = 0.0152;
  private static final double CHECKS_PER_MS = 0.017;
  private static final double SWING = 0.55;
  private static final long SWING_PERIOD_MS = 9_000;
  private static final long MIN_REPORT_MS = 1_000;
  private static final int MIN_REPORT_EVENTS = 4;
  private static final double SLOW_SPEED = 0.55;
  private static final double FAST_SPEED = 1.2;
  private static final EngineTraits TRAITS = new EngineTraits(24, 26_896, 163_840, 24_000, true, 4);

  private final List<RoutedTarget> targets = new ArrayList<>();
  private final Map<String, SteppingEngine> engines = new HashMap<>();
  private final Map<String, Integer> outputs = new HashMap<>();
  private final Map<String, Long> arrivals = new HashMap<>();
  private final boolean gapAware;
  private final Outcome drafts = new Outcome();
  private final Outcome checks = new Outcome();
  private int refused;

  UnevenFleet(long seed, int daemons, int engineCount, boolean gapAware) {
    super(seed);
    this.gapAware = gapAware;
    IntStream.range(0, engineCount)
        .forEach(
            i -> {
              RoutedTarget target = target(i);
              boolean slow = i % 4 == 0;
              targets.add(target);
              engines.put(
                  target.id(),
                  new SteppingEngine(clock(), random().split(), slow ? SLOW_SPEED : FAST_SPEED));
            });
    start(daemons);
  }

  private static RoutedTarget target(int number) {
    String zone = "z" + number % 3;
    String id = DispatchFixture.ENGINES + number;
    return new RoutedTarget(
        id, 1, DispatchFixture.ENGINES, "10.1.7." + number + ":80", zone, 24, false);
  }

  /** Schedules the arrival of runs at a share of the full load. */
  void load(long durationMs, double share) {
    arrive(durationMs, share * DRAFTS_PER_MS, "draft", 3_000, 750);
    arrive(durationMs, share * CHECKS_PER_MS, "check", 2_200, 8);
  }

  private void arrive(long durationMs, double perMs, String kind, int prompt, int output) {
    int count = (int) (durationMs * perMs);
    for (int i = 0; i < count; i++) {
      String callId = kind + "-" + i;
      long atMs = random().nextLong(durationMs);
      int zone = drawZone(atMs);
      // A log-normal length has a heavy tail; the shift keeps its mean at 1.
      double tail = Math.exp(0.8 * random().nextDouble(-1.7, 1.7) - 0.25);
      outputs.put(callId, kind.equals("draft") ? Math.max(16, (int) (output * tail)) : output);
      at(SETTLED_MS + atMs, () -> submit(callId, kind, prompt, output, zone));
    }
  }

  private int drawZone(long atMs) {
    double[] weights = new double[3];
    double sum = 0;
    for (int zone = 0; zone < 3; zone++) {
      weights[zone] =
          1 + SWING * Math.sin(2 * Math.PI * (atMs * 1.0 / SWING_PERIOD_MS + zone / 3.0));
      sum += weights[zone];
    }
    double draw = random().nextDouble(sum);
    int zone = 0;
    while (zone < 2 && draw >= weights[zone]) {
      draw -= weights[zone];
      zone++;
    }
    return zone;
  }

  private void submit(String callId, String kind, int prompt, int output, int zone) {
    List<Daemon> local =
        daemons().stream().filter(daemon -> daemon.zone().equals("z" + zone)).toList();
    Daemon daemon = local.get(random().nextInt(local.size()));
    arrivals.put(callId, clock().nowMs());
    GenerationDemand demand =
        new GenerationDemand("m", prompt, 2L * output, OptionalLong.of(output), List.of());
    daemon.apply(
        at ->
            new DispatchEvent.CallArrived(
                at,
                callId,
                new CallProfile(
                    "r-" + callId,
                    DispatchFixture.HOST,
                    "/" + kind + "/1",
                    Optional.of(KEY),
                    at,
                    at + 39_000,
                    Optional.of(demand)),
                Optional.empty()));
  }

  @Override
  List<RoutedTarget> listedTargets() {
    return targets;
  }

  @Override
  RoutingSheet sheet() {
    return new RoutingSheet(
        1,
        1,
        List.of(route("draft", DRAFT_LATENCY_MS), route("check", CHECK_LATENCY_MS)),
        List.of(new RoutedService(DispatchFixture.ENGINES, 232, Optional.of(TRAITS))),
        CallerLimits.INITIAL,
        List.of(new RoutedOrganisation("sawmill", List.of(KEY), OptionalInt.empty())));
  }

  private Route route(String name, long latencyMs) {
    return new Route(
        name,
        DispatchFixture.HOST,
        "/" + name + "/",
        RouteKind.STREAMING,
        39_000,
        latencyMs,
        gapAware ? OptionalLong.of(GAP_MS) : OptionalLong.empty(),
        1,
        List.of(new WeightedService(DispatchFixture.ENGINES, 1)),
        1,
        false);
  }

  @Override
  void perform(Daemon daemon, Effect effect) {
    if (effect instanceof DispatchEffect.RefuseCall) {
      refused++;
    }
    if (effect instanceof DispatchEffect.SendCall send) {
      String callId = send.callId();
      boolean draft = callId.startsWith("draft");
      Outcome outcome = draft ? drafts : checks;
      outcome.sent++;
      Stream stream = new Stream(daemon, send, outcome);
      engines
          .get(send.target().id())
          .add(draft ? 3_000 : 2_200, outputs.get(callId), stream::onEvent);
    }
  }

  Outcome drafts() {
    return drafts;
  }

  Outcome checks() {
    return checks;
  }

  int refused() {
    return refused;
  }

  /** What became of the runs of one kind. */
  static final class Outcome {

    private int sent;
    private int late;
    private int gapped;
    private int ended;

    int sent() {
      return sent;
    }

    int late() {
      return late;
    }

    int gapped() {
      return gapped;
    }

    int ended() {
      return ended;
    }
  }

  /** Reports the events of a run to its daemon, as the exchange does. */
  private final class Stream {

    private final Daemon daemon;
    private final DispatchEffect.SendCall send;
    private final Outcome outcome;
    private long lastMs;
    private long sinceMs;
    private long maxGapMs;
    private int count;

    private Stream(Daemon daemon, DispatchEffect.SendCall send, Outcome outcome) {
      this.daemon = daemon;
      this.send = send;
      this.outcome = outcome;
    }

    private void onEvent(int number, boolean last) {
      long nowMs = clock().nowMs();
      if (number == 1) {
        sinceMs = nowMs;
        long delayMs = nowMs - arrivals.get(send.callId());
        outcome.late += delayMs > (outcome == drafts ? DRAFT_LATENCY_MS : CHECK_LATENCY_MS) ? 1 : 0;
        daemon.apply(at -> new DispatchEvent.AnswerStarted(at, send.callId(), send.attempt()));
      } else {
        maxGapMs = Math.max(maxGapMs, nowMs - lastMs);
        count++;
      }
      lastMs = nowMs;
      if (count >= MIN_REPORT_EVENTS && (last || nowMs - sinceMs >= MIN_REPORT_MS)) {
        int events = count;
        long durationMs = nowMs - sinceMs;
        daemon.apply(
            at ->
                new StreamEvent.StreamProgressed(
                    at, send.callId(), send.attempt(), events, durationMs));
        count = 0;
        sinceMs = nowMs;
      }
      if (last) {
        outcome.ended++;
        outcome.gapped += maxGapMs > GAP_MS ? 1 : 0;
        daemon.apply(
            at -> new DispatchEvent.AnswerDelivered(at, send.callId(), send.attempt(), 200, ""));
      }
    }
  }
}
