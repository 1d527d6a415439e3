package org.sequoiareach.decision.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.stream.IntStream;
import org.sequoiareach.decision.admission.AdmissionStrategy;
import org.sequoiareach.decision.admission.ImmediateAdmission;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.request.Verdict;
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
 * Simulates daemons before engines that prefill one prompt after the other and begin a run only if
 * it fits into their memory. Callers return once if a refusal names a time that they accept. Runs
 * that have begun outlast their engine, as if migrated; those that have not are lost with it.
 */
final class BurstFleet extends AbstractFleet {

  private static final int SLOTS = 24;
  private static final long MEMORY_TOKENS = 26_989;
  private static final double PREFILL_TOKENS_PER_MS = 7;
  private static final double DECODE_MS_PER_TOKEN = 9;
  private static final double FILL_RATIO = 1.25;

  /** A kind of request. */
  enum Kind {
    DRAFT("draft", 3_000, 750, 2, 4_006, 39_000),
    CHECK("check", 2_200, 8, 0, 1_504, 6_000);

    private final String route;
    private final long prompt;
    private final long output;
    private final int priority;
    private final long latencyMs;
    private final long limitMs;

    Kind(String route, long prompt, long output, int priority, long latencyMs, long limitMs) {
      this.route = route;
      this.prompt = prompt;
      this.output = output;
      this.priority = priority;
      this.latencyMs = latencyMs;
      this.limitMs = limitMs;
    }
  }

  /** One request of a caller, over its attempts. */
  static final class Request {

    final Kind kind;
    final String tenant;
    final long firstMs;
    int runs;
    boolean returned;
    boolean served;
    boolean onTime;
    boolean lost;
    int outcomes;

    Request(Kind kind, String tenant, long firstMs) {
      this.kind = kind;
      this.tenant = tenant;
      this.firstMs = firstMs;
    }
  }

  private static final class Run {
    private final Daemon daemon;
    private final DispatchEffect.SendCall send;
    private final Request request;

    private Run(Daemon daemon, DispatchEffect.SendCall send, Request request) {
      this.daemon = daemon;
      this.send = send;
      this.request = request;
    }
  }

  private static final class Engine {
    private final Deque<Run> queue = new ArrayDeque<>();
    private int begun;
    private long memory;
    private boolean prefilling;
    private boolean gone;
  }

  private final boolean immediate;
  private final List<RoutedTarget> targets = new ArrayList<>();
  private final Map<String, Engine> engines = new HashMap<>();
  private final Map<String, Request> byCall = new HashMap<>();
  private final List<Request> requests = new ArrayList<>();
  private int sequence;
  private long revision = 10;

  BurstFleet(long seed, int daemons, int engineCount, boolean immediate) {
    super(seed);
    this.immediate = immediate;
    IntStream.range(0, engineCount)
        .forEach(i -> targets.add(DispatchFixture.target(DispatchFixture.ENGINES, i, SLOTS)));
    targets.forEach(target -> engines.put(target.id(), new Engine()));
    start(daemons);
  }

  @Override
  AdmissionStrategy createAdmission(DoubleSupplier draw) {
    return immediate ? new ImmediateAdmission() : super.createAdmission(draw);
  }

  @Override
  RoutingSheet sheet() {
    List<Route> routes = new ArrayList<>();
    for (Kind kind : Kind.values()) {
      routes.add(
          new Route(
              kind.route,
              DispatchFixture.HOST,
              "/" + kind.route + "/",
              RouteKind.STREAMING,
              kind.limitMs,
              kind.latencyMs,
              OptionalLong.of(180),
              kind.priority,
              List.of(new WeightedService(DispatchFixture.ENGINES, 1)),
              1,
              false));
    }
    EngineTraits traits = new EngineTraits(SLOTS, MEMORY_TOKENS, 1, 24_000, false, 4);
    List<RoutedOrganisation> tenants =
        List.of("large", "small1", "small2").stream()
            .map(name -> new RoutedOrganisation(name, List.of(name), OptionalInt.empty()))
            .toList();
    return new RoutingSheet(
        1,
        1,
        routes,
        List.of(new RoutedService(DispatchFixture.ENGINES, 232, Optional.of(traits))),
        CallerLimits.INITIAL,
        tenants);
  }

  @Override
  List<RoutedTarget> listedTargets() {
    return targets;
  }

  List<Request> requests() {
    return requests;
  }

  /** Spreads requests at random over a period; nine in ten are of the large tenant. */
  void load(Kind kind, long fromMs, long durationMs, double perSecond) {
    for (int i = 0; i < perSecond * durationMs / 1_000; i++) {
      at(
          fromMs + random().nextLong(durationMs),
          () -> {
            int draw = random().nextInt(20);
            String tenant = draw == 0 ? "small1" : draw == 1 ? "small2" : "large";
            Request request = new Request(kind, tenant, clock().nowMs());
            requests.add(request);
            arrive(request);
          });
    }
  }

  private void arrive(Request request) {
    Daemon daemon = daemons().get(random().nextInt(daemons().size()));
    if (!daemon.isAlive()) {
      daemon = daemons().get((daemon.number() + 1) % daemons().size());
    }
    sequence++;
    String id = "c" + sequence;
    byCall.put(id, request);
    long leftMs = request.firstMs + request.kind.limitMs - clock().nowMs();
    GenerationDemand demand =
        new GenerationDemand(
            "m",
            request.kind.prompt,
            2 * request.kind.output,
            OptionalLong.of(request.kind.output),
            List.of());
    daemon.apply(
        at ->
            new DispatchEvent.CallArrived(
                at,
                id,
                new CallProfile(
                    "r" + id,
                    DispatchFixture.HOST,
                    "/" + request.kind.route + "/1",
                    Optional.of(request.tenant),
                    at,
                    at + leftMs,
                    Optional.of(demand)),
                Optional.empty()));
  }

  /** Lets an engine give notice and leave after it. */
  void leave(int number, long noticeMs) {
    RoutedTarget target = targets.get(number);
    change(target.asLeaving());
    clock()
        .after(
            noticeMs,
            () -> {
              Engine engine = engines.get(target.id());
              engine.gone = true;
              engine.queue.forEach(this::lose);
              engine.queue.clear();
            });
  }

  private void change(RoutedTarget target) {
    revision++;
    long changed = revision;
    daemons().forEach(d -> d.apply(at -> new DispatchEvent.TargetChanged(at, changed, target)));
  }

  private void lose(Run run) {
    run.request.lost = true;
    run.daemon.apply(
        at ->
            new DispatchEvent.AttemptFailed(
                at,
                run.send.callId(),
                run.send.attempt(),
                AttemptFault.LOST,
                0,
                false,
                false,
                "gone"));
  }

  void drain(int number) {
    daemons().get(number).apply(at -> new TimeEvent.DrainRequested(at, at + 12_000));
  }

  @Override
  void perform(Daemon daemon, Effect effect) {
    if (effect instanceof DispatchEffect.SendCall send) {
      Request request = byCall.get(send.callId());
      request.runs++;
      Run run = new Run(daemon, send, request);
      Engine engine = engines.get(send.target().id());
      if (engine.gone) {
        lose(run);
        return;
      }
      engine.queue.add(run);
      advance(engine);
    } else if (effect instanceof DispatchEffect.RefuseCall refusal) {
      onRefused(refusal);
    } else if (effect instanceof DispatchEffect.CutCall cut) {
      byCall.get(cut.callId()).outcomes++;
    }
  }

  private void onRefused(DispatchEffect.RefuseCall refusal) {
    Request request = byCall.get(refusal.callId());
    long leftMs = request.firstMs + request.kind.limitMs - clock().nowMs();
    boolean returns =
        refusal.verdict() == Verdict.NOT_RUN
            && !request.returned
            && refusal.retryAfterMs() > 0
            && refusal.retryAfterMs() <= leftMs / 3 + 1;
    if (!returns) {
      request.outcomes++;
      return;
    }
    request.returned = true;
    clock().after(refusal.retryAfterMs(), () -> arrive(request));
  }

  private void advance(Engine engine) {
    if (engine.prefilling || engine.queue.isEmpty() || engine.begun >= SLOTS) {
      return;
    }
    Run run = engine.queue.peek();
    long needed = run.request.kind.prompt + run.request.kind.output;
    if (engine.begun > 0 && engine.memory + needed > FILL_RATIO * MEMORY_TOKENS) {
      return;
    }
    engine.queue.remove();
    engine.prefilling = true;
    engine.begun++;
    engine.memory += needed;
    clock()
        .after(
            Math.round(run.request.kind.prompt / PREFILL_TOKENS_PER_MS),
            () -> onPrefilled(engine, run, needed));
  }

  private void onPrefilled(Engine engine, Run run, long needed) {
    engine.prefilling = false;
    run.request.onTime = clock().nowMs() <= run.request.firstMs + run.request.kind.latencyMs;
    run.daemon.apply(
        at -> new DispatchEvent.AnswerStarted(at, run.send.callId(), run.send.attempt()));
    clock()
        .after(
            Math.round(run.request.kind.output * DECODE_MS_PER_TOKEN),
            () -> {
              engine.begun--;
              engine.memory -= needed;
              if (run.request.outcomes == 0) {
                // An ended call was cancelled at its engine.
                run.request.served = true;
                run.request.outcomes++;
              }
              run.daemon.apply(
                  at ->
                      new DispatchEvent.AnswerDelivered(
                          at, run.send.callId(), run.send.attempt(), 200, ""));
              advance(engine);
            });
    advance(engine);
  }

  /** Counts the outcomes, for the message of a failed assertion. */
  String summary() {
    Map<String, long[]> counts = new LinkedHashMap<>();
    for (Request request : requests) {
      long[] count =
          counts.computeIfAbsent(request.kind + " " + request.tenant, key -> new long[5]);
      count[0]++;
      count[1] += request.served ? 1 : 0;
      count[2] += request.served && request.onTime ? 1 : 0;
      count[3] += request.returned ? 1 : 0;
      count[4] += request.lost ? 1 : 0;
    }
    StringBuilder text = new StringBuilder("offered/served/on time/returned/lost:");
    counts.forEach(
        (key, count) -> text.append(' ').append(key).append('=').append(Arrays.toString(count)));
    return text.toString();
  }
}
