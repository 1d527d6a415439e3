package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.sequoiareach.decision.admission.AdmissionStrategy;
import org.sequoiareach.decision.admission.LateBindingAdmission;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.model.route.CallerLimits;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.Route;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedOrganisation;
import org.sequoiareach.model.route.RoutedService;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.StatedRate;
import org.sequoiareach.model.route.WeightedService;

/**
 * Drives a reducer with a routing sheet of three routes, four engines and three plain targets, and
 * collects its effects.
 */
final class DispatchFixture {

  static final String HOST = "mill.example";
  static final String ENGINES = "engines";
  static final String DESK = "desk";
  static final long LIMIT_MS = 800;
  static final EngineTraits TRAITS = new EngineTraits(24, 34_360, 18_432, 2_700, true, 4);

  private final DispatchReducer reducer;
  private final List<Effect> effects = new ArrayList<>();
  private long nowMs = 100_000;
  private int sequence;

  DispatchFixture() {
    this(LateBindingAdmission::new);
  }

  private DispatchFixture(Function<DoubleSupplier, AdmissionStrategy> admission) {
    this.reducer =
        new DispatchReducer(
            new DispatchSettings("z0", 7, 0.2, 10_000, 52, 3_500, 2_000),
            new MembershipSettings("10.0.0.1:1", "10.0.0.1:1", "z0", 1, 7),
            admission);
  }

  /** Creates a fixture whose reducer has loaded its sheet and targets. */
  static DispatchFixture ready() {
    return ready(LateBindingAdmission::new);
  }

  /** Creates a ready fixture with a strategy of admission. */
  static DispatchFixture ready(Function<DoubleSupplier, AdmissionStrategy> admission) {
    DispatchFixture fixture = new DispatchFixture(admission);
    fixture.apply(new DispatchEvent.SheetLearned(fixture.nowMs, sheet(1, "k1"), "store"));
    fixture.apply(new DispatchEvent.TargetsListed(fixture.nowMs, 10, targets(), "store"));
    return fixture;
  }

  static RoutingSheet sheet(long revision, String key) {
    return new RoutingSheet(
        revision,
        revision,
        List.of(
            route("draft", RouteKind.STREAMING, ENGINES, 1),
            route("check", RouteKind.RESUMABLE_STREAMING, ENGINES, 2),
            route("status", RouteKind.IDEMPOTENT, DESK, 2),
            route("booking", RouteKind.NON_IDEMPOTENT, DESK, 1)),
        List.of(
            new RoutedService(ENGINES, 232, Optional.of(TRAITS)),
            new RoutedService(DESK, 96, Optional.empty())),
        CallerLimits.INITIAL,
        List.of(new RoutedOrganisation("sawmill", List.of(key), OptionalInt.empty())));
  }

  static List<RoutedTarget> targets() {
    List<RoutedTarget> targets = new ArrayList<>();
    IntStream.range(0, 4).forEach(i -> targets.add(target(ENGINES, i, 24)));
    IntStream.range(0, 3).forEach(i -> targets.add(target(DESK, i, 6)));
    return targets;
  }

  static RoutedTarget target(String service, int number, int slots) {
    String zone = "z" + number % 2;
    String address = "10.1." + service.length() + "." + number + ":80";
    return new RoutedTarget(service + number, 1, service, address, zone, slots, false);
  }

  long nowMs() {
    return nowMs;
  }

  void advance(long durationMs) {
    nowMs += durationMs;
  }

  /** Advances the time by a duration, with a tick every 50 ms. */
  void tick(long durationMs) {
    long untilMs = nowMs + durationMs;
    while (nowMs < untilMs) {
      nowMs = Math.min(untilMs, nowMs + 50);
      apply(new TimeEvent.Ticked(nowMs));
    }
  }

  List<Effect> apply(Event event) {
    List<Effect> made = reducer.apply(event);
    effects.addAll(made);
    return made;
  }

  /** Submits a plain call and returns its identifier. */
  String call(String route) {
    return call(route, "k1", Optional.empty());
  }

  String call(String route, String key, Optional<GenerationDemand> demand) {
    return call(route, key, demand, demand.isPresent() ? 39_000 : 1_500);
  }

  private String call(String route, String key, Optional<GenerationDemand> demand, long timeoutMs) {
    sequence++;
    String callId = "c" + sequence;
    apply(
        new DispatchEvent.CallArrived(
            nowMs,
            callId,
            new CallProfile(
                "r" + sequence,
                HOST,
                "/" + route + "/1",
                Optional.of(key),
                nowMs,
                nowMs + timeoutMs,
                demand),
            Optional.empty()));
    return callId;
  }

  /** Creates a request for a generation with a prompt of 3,000 tokens. */
  static DispatchEvent.CallArrived generation(long nowMs, String callId, String key) {
    return new DispatchEvent.CallArrived(
        nowMs,
        callId,
        new CallProfile(
            "r-" + callId,
            HOST,
            "/draft/1",
            Optional.of(key),
            nowMs,
            nowMs + 39_000,
            Optional.of(new GenerationDemand("m", 3_000, 500, OptionalLong.empty(), List.of()))),
        Optional.empty());
  }

  String generate(long promptTokens, long maxOutput) {
    return generate("draft", promptTokens, maxOutput);
  }

  String generate(String route, long promptTokens, long maxOutput) {
    return call(route, "k1", demand(promptTokens, maxOutput));
  }

  /** Submits a generation whose caller waits for the given time. */
  String generateWithin(long timeoutMs, long promptTokens, long maxOutput) {
    return call("draft", "k1", demand(promptTokens, maxOutput), timeoutMs);
  }

  /** Submits a call whose caller waits for the given time. */
  String callWithin(String route, long timeoutMs, boolean plain) {
    return call(route, "k1", plain ? Optional.empty() : demand(100, 10), timeoutMs);
  }

  private static Optional<GenerationDemand> demand(long promptTokens, long maxOutput) {
    return Optional.of(
        new GenerationDemand("m", promptTokens, maxOutput, OptionalLong.empty(), List.of()));
  }

  void started(String callId) {
    apply(new DispatchEvent.AnswerStarted(nowMs, callId, lastSend(callId).attempt()));
  }

  /** Lets the target of a call state the rate of requests that it accepts. */
  void state(String callId, StatedRate rate) {
    apply(new DispatchEvent.RateStated(nowMs, callId, lastSend(callId).attempt(), rate));
  }

  void delivered(String callId) {
    delivered(callId, 200);
  }

  void delivered(String callId, int status) {
    apply(new DispatchEvent.AnswerDelivered(nowMs, callId, lastSend(callId).attempt(), status, ""));
  }

  List<Effect> failed(String callId, AttemptFault fault, boolean started) {
    return apply(
        new DispatchEvent.AttemptFailed(
            nowMs, callId, lastSend(callId).attempt(), fault, 0, started, false, "seen"));
  }

  List<DispatchEffect.SendCall> sends(String callId) {
    return all(DispatchEffect.SendCall.class).stream()
        .filter(send -> send.callId().equals(callId))
        .toList();
  }

  /** Returns the attempts of a call that do not continue an earlier one. */
  List<DispatchEffect.SendCall> newRuns(String callId) {
    return sends(callId).stream().filter(send -> send.continuation().isEmpty()).toList();
  }

  DispatchEffect.SendCall lastSend(String callId) {
    List<DispatchEffect.SendCall> sends = sends(callId);
    return sends.get(sends.size() - 1);
  }

  Optional<DispatchEffect.RefuseCall> refusal(String callId) {
    return all(DispatchEffect.RefuseCall.class).stream()
        .filter(refusal -> refusal.callId().equals(callId))
        .findFirst();
  }

  boolean wasCut(String callId) {
    return all(DispatchEffect.CutCall.class).stream().anyMatch(cut -> cut.callId().equals(callId));
  }

  List<DispatchEffect.CopyRun> copies(String callId) {
    return all(DispatchEffect.CopyRun.class).stream()
        .filter(copy -> copy.callId().equals(callId))
        .toList();
  }

  DispatchEffect.CopyRun lastCopy(String callId) {
    List<DispatchEffect.CopyRun> copies = copies(callId);
    return copies.get(copies.size() - 1);
  }

  /** Ends the last copy of a call some time after now. */
  void copied(String callId, long tookMs, CopyOutcome outcome, String handle) {
    advance(tookMs);
    apply(new DispatchEvent.RunCopied(nowMs, callId, lastCopy(callId).round(), outcome, handle));
  }

  /** Fails every attempt of a call, including those to come, until it ends or for 4 s. */
  void failUntilEnded(String callId, AttemptFault fault, boolean started) {
    long untilMs = nowMs + 4_000;
    int failures = sends(callId).size() - 1;
    while (refusal(callId).isEmpty() && !wasCut(callId) && nowMs < untilMs) {
      if (sends(callId).size() > failures) {
        failures++;
        failed(callId, fault, started);
      } else {
        tick(50);
      }
    }
  }

  /** Marks the target of a call as leaving and returns it. */
  RoutedTarget markLeaving(String callId) {
    RoutedTarget target = lastSend(callId).target();
    apply(new DispatchEvent.TargetChanged(nowMs, 11, target.asLeaving()));
    return target;
  }

  <T extends Effect> List<T> all(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private static Route route(String name, RouteKind kind, String service, int maxTargets) {
    boolean stream = kind.isStreaming();
    return new Route(
        name,
        HOST,
        "/" + name + "/",
        kind,
        stream ? 39_000 : LIMIT_MS,
        stream ? 1_800 : 100,
        stream ? OptionalLong.of(180) : OptionalLong.empty(),
        1,
        List.of(new WeightedService(service, 1)),
        maxTargets,
        false);
  }
}
