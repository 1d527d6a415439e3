package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Predicate;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.model.quarantine.CrashReport;
import org.sequoiareach.model.quarantine.Quarantine;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Simulates a fleet of dispatch reducers in front of engines that crash: under requests with
 * certain content as they begin to answer them, or for reasons of their own. A crashed engine is
 * back under another identity after a while.
 */
final class CrashingFleet extends AbstractFleet {

  private static final long MIN_PREFILL_MS = 100;
  private static final long MAX_PREFILL_MS = 500;
  private static final long MIN_ANSWER_MS = 80;
  private static final long MAX_ANSWER_MS = 9_000;
  private static final long GENERATION_DEADLINE_MS = 39_000;
  private static final long CALL_WORK_MS = 20;
  private static final long CALL_DEADLINE_MS = 1_500;
  private static final long ENTRY_LAPSE_MS = 2_500;
  private static final long MIN_RESTART_MS = 2_300;
  private static final long MAX_RESTART_MS = 3_500;

  private final Map<String, Engine> engines = new LinkedHashMap<>();
  private final Map<String, Request> requests = new HashMap<>();
  private final List<Crash> crashes = new ArrayList<>();
  private final List<Sent> deadlySends = new ArrayList<>();
  private final String route;
  private final boolean isPlain;
  private Predicate<Request> deadly = request -> false;
  private int enginesStarted;
  private long revision = 10;

  /**
   * A request of a caller.
   *
   * @param id its identifier
   * @param content what its caller calls it, for statistics
   * @param parts the parts of its prompt
   * @param arrivedMs when it arrived, from the start
   * @param outcomes receives what became of it
   */
  record Request(
      String id, String content, List<String> parts, long arrivedMs, List<String> outcomes) {

    boolean isServed() {
      return outcomes.contains("served");
    }

    boolean isQuarantined() {
      return outcomes.contains(Reason.QUARANTINED.label());
    }
  }

  /** A crash and the deadly request that caused it; empty if there was none. */
  record Crash(long atMs, Optional<Request> cause) {}

  /** A deadly request that reached an engine. */
  record Sent(long atMs, Request request, int daemon) {}

  private record Run(Daemon daemon, DispatchEffect.SendCall send, Request request) {}

  private static final class Engine {

    private final RoutedTarget target;
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Boolean> started = new HashMap<>();
    private boolean up = true;

    private Engine(RoutedTarget target) {
      this.target = target;
    }
  }

  CrashingFleet(int size, int engineCount, long seed) {
    this(size, engineCount, seed, "draft");
  }

  /** Creates a fleet whose callers use one route, in front of the targets of its service. */
  CrashingFleet(int size, int engineCount, long seed, String route) {
    super(seed);
    this.route = route;
    this.isPlain = route.equals("status") || route.equals("booking");
    for (int i = 0; i < engineCount; i++) {
      addEngine();
    }
    start(size);
  }

  /** Selects the requests that crash each engine that begins to answer them. */
  void setDeadly(Predicate<Request> selected) {
    deadly = selected;
  }

  /** Sends requests at a constant mean rate to random daemons. */
  void load(
      String content,
      double perSecond,
      long fromMs,
      long untilMs,
      Function<Integer, List<String>> partsOf) {
    int[] number = {0};
    for (double atMs = fromMs; atMs < untilMs; atMs += 2_000 / perSecond * random().nextDouble()) {
      at(
          (long) atMs,
          () -> {
            number[0]++;
            List<String> parts = partsOf.apply(number[0]);
            call(content, parts, random().nextInt(daemons().size()));
          });
    }
  }

  /** Crashes a random engine that is up, for a reason of its own. */
  void crashRandomEngine() {
    List<Engine> up = engines.values().stream().filter(engine -> engine.up).toList();
    if (!up.isEmpty()) {
      crash(up.get(random().nextInt(up.size())), Optional.empty());
    }
  }

  /** Crashes all engines at the same moment. */
  void crashAllEngines() {
    engines.values().stream()
        .filter(engine -> engine.up)
        .toList()
        .forEach(engine -> crash(engine, Optional.empty()));
  }

  List<Crash> crashes() {
    return crashes;
  }

  List<Sent> deadlySends() {
    return deadlySends;
  }

  List<Request> requests(String content) {
    return requests.values().stream().filter(one -> one.content.equals(content)).toList();
  }

  /** Returns the share of the requests that arrived in a time and were served. */
  double servedShare(String content, long fromMs, long untilMs) {
    List<Request> all =
        requests(content).stream()
            .filter(one -> one.arrivedMs >= fromMs && one.arrivedMs < untilMs)
            .toList();
    return (double) all.stream().filter(Request::isServed).count() / all.size();
  }

  @Override
  List<RoutedTarget> listedTargets() {
    return engines.values().stream().map(engine -> engine.target).toList();
  }

  @Override
  void perform(Daemon daemon, Effect effect) {
    long nowMs = daemon.nowMs();
    if (effect instanceof DispatchEffect.SendCall send) {
      clock().after(messageDelayMs(), () -> receive(daemon, send));
    } else if (effect instanceof DispatchEffect.RefuseCall refusal) {
      end(refusal.callId(), refusal.reason().label());
    } else if (effect instanceof DispatchEffect.CutCall cut) {
      end(cut.callId(), "cut");
    } else if (effect instanceof DispatchEffect.ProbeTarget probe) {
      clock().after(messageDelayMs(), () -> probe(daemon, probe.target()));
    } else if (effect instanceof DispatchEffect.TellCrashes tell) {
      daemon.deliver(
          tell.daemonId(),
          at ->
              new DispatchEvent.CrashesTold(
                  at,
                  daemon.id(),
                  tell.reports().stream().map(one -> shifted(one, at - nowMs)).toList()));
    } else if (effect instanceof DispatchEffect.TellQuarantines tell) {
      daemon.deliver(
          tell.daemonId(),
          at ->
              new DispatchEvent.QuarantinesTold(
                  at,
                  daemon.id(),
                  tell.quarantines().stream().map(one -> shifted(one, at - nowMs)).toList()));
    }
  }

  private void call(String content, List<String> parts, int daemon) {
    Request request =
        new Request("c" + requests.size(), content, parts, elapsedMs(), new ArrayList<>());
    requests.put(request.id, request);
    List<PromptPart> prompt = parts.stream().map(part -> new PromptPart(part, 100)).toList();
    GenerationDemand demand =
        new GenerationDemand("m", 100L * parts.size(), 400, OptionalLong.empty(), prompt);
    daemons()
        .get(daemon)
        .apply(
            nowMs ->
                new DispatchEvent.CallArrived(
                    nowMs,
                    request.id,
                    new CallProfile(
                        request.id,
                        DispatchFixture.HOST,
                        "/" + route + "/1",
                        Optional.of(KEY),
                        nowMs,
                        nowMs + (isPlain ? CALL_DEADLINE_MS : GENERATION_DEADLINE_MS),
                        isPlain ? Optional.empty() : Optional.of(demand)),
                    Optional.of(String.join(",", parts))));
  }

  private void receive(Daemon daemon, DispatchEffect.SendCall send) {
    Request request = requests.get(send.callId());
    Engine engine = engines.get(send.target().id());
    if (!engine.up) {
      fail(daemon, send, AttemptFault.NOBODY_THERE, false);
      return;
    }
    if (deadly.test(request)) {
      deadlySends.add(new Sent(elapsedMs(), request, numberOf(daemon.id())));
    }
    engine.runs.put(request.id, new Run(daemon, send, request));
    long prefillMs = isPlain ? 0 : random().nextLong(MIN_PREFILL_MS, MAX_PREFILL_MS);
    clock().after(prefillMs, () -> begin(engine, request.id));
  }

  private void begin(Engine engine, String id) {
    Run run = engine.runs.get(id);
    if (run == null) {
      return;
    }
    if (deadly.test(run.request)) {
      crash(engine, Optional.of(run.request));
      return;
    }
    if (isPlain) {
      clock().after(CALL_WORK_MS, () -> complete(engine, id));
      return;
    }
    engine.started.put(id, true);
    run.daemon.apply(at -> new DispatchEvent.AnswerStarted(at, id, run.send.attempt()));
    long answerMs = random().nextLong(MIN_ANSWER_MS, MAX_ANSWER_MS);
    clock().after(answerMs, () -> complete(engine, id));
  }

  private void complete(Engine engine, String id) {
    Run run = engine.runs.remove(id);
    if (run != null) {
      run.request.outcomes.add("served");
      run.daemon.apply(
          at -> new DispatchEvent.AnswerDelivered(at, id, run.send.attempt(), 200, ""));
    }
  }

  private void crash(Engine engine, Optional<Request> cause) {
    crashes.add(new Crash(elapsedMs(), cause));
    engine.up = false;
    List<Run> broken = List.copyOf(engine.runs.values());
    engine.runs.clear();
    for (Run run : broken) {
      boolean started = engine.started.containsKey(run.request.id);
      AttemptFault fault = started ? AttemptFault.BROKEN_ANSWER : AttemptFault.LOST;
      clock().after(messageDelayMs(), () -> fail(run.daemon, run.send, fault, started));
    }
    clock()
        .after(
            ENTRY_LAPSE_MS,
            () -> {
              revision++;
              long at = revision;
              tellAll(nowMs -> new DispatchEvent.TargetRemoved(nowMs, at, engine.target.id()));
            });
    clock().after(random().nextLong(MIN_RESTART_MS, MAX_RESTART_MS), this::startEngine);
  }

  private void startEngine() {
    RoutedTarget target = addEngine();
    revision++;
    long at = revision;
    tellAll(nowMs -> new DispatchEvent.TargetChanged(nowMs, at, target));
  }

  private RoutedTarget addEngine() {
    String service = isPlain ? DispatchFixture.DESK : DispatchFixture.ENGINES;
    String id = service + "-" + enginesStarted;
    String address = "10.8.0." + enginesStarted + ":80";
    RoutedTarget target =
        new RoutedTarget(id, 1, service, address, "z" + enginesStarted % 3, 24, false);
    enginesStarted++;
    engines.put(id, new Engine(target));
    return target;
  }

  private void tellAll(LongFunction<Event> event) {
    daemons().forEach(daemon -> clock().after(messageDelayMs(), () -> daemon.apply(event)));
  }

  private void probe(Daemon daemon, RoutedTarget target) {
    ProbeOutcome outcome =
        engines.get(target.id()).up ? ProbeOutcome.REACHED : ProbeOutcome.REFUSED;
    daemon.apply(at -> new DispatchEvent.TargetProbed(at, target.id(), outcome));
  }

  private static void fail(
      Daemon daemon, DispatchEffect.SendCall send, AttemptFault fault, boolean started) {
    boolean disconnected = fault != AttemptFault.NOBODY_THERE;
    daemon.apply(
        at ->
            new DispatchEvent.AttemptFailed(
                at, send.callId(), send.attempt(), fault, 0, started, disconnected, "crashed"));
  }

  /** Ends a request at its caller, and its run if there is one. */
  private void end(String callId, String outcome) {
    requests.get(callId).outcomes.add(outcome);
    engines.values().forEach(engine -> engine.runs.remove(callId));
  }

  private static CrashReport shifted(CrashReport report, long shiftMs) {
    return new CrashReport(
        report.targetId(),
        report.incarnation(),
        report.service(),
        report.daemonId(),
        report.atMs() + shiftMs,
        report.runs());
  }

  private static Quarantine shifted(Quarantine one, long shiftMs) {
    return new Quarantine(
        one.traits(),
        one.crashes(),
        one.evidenceSinceMs() + shiftMs,
        one.proposedAtMs() + shiftMs,
        one.matchedAtMs() + shiftMs,
        one.trialAtMs() + shiftMs,
        one.trials(),
        one.isLifted()
            ? OptionalLong.of(one.liftedAtMs().getAsLong() + shiftMs)
            : OptionalLong.empty());
  }
}
