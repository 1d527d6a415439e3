package org.sequoiareach.decision.dispatch;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.decision.admission.AdmissionDecision;
import org.sequoiareach.decision.admission.AdmissionStrategy;
import org.sequoiareach.decision.admission.WaitingCall;
import org.sequoiareach.model.quarantine.Quarantine;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.Route;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedOrganisation;
import org.sequoiareach.model.route.RoutedTarget;

/** Handles the events of calls: admits, places, retries and refuses them. Not thread-safe. */
final class CallHandler implements PermitHandler.Listener {

  /** The attempts of a call that may reach a target and fail before the call is refused. */
  private static final int MAX_REACHED_ATTEMPTS = 3;

  /** The lowest HTTP status that reports a failure of the target. */
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final MigrationHandler migrations;
  private final RunDurationRegistry durations;
  private final TargetHandler targets;
  private final TargetHealthHandler health;
  private final LimitHandler limits;
  private final QuarantineHandler quarantines;
  private final SpeedHandler speeds;
  private final HedgeHandler hedges;
  private final PermitHandler permits;
  private final CallPlacement placement;
  private final CallRefuser refuser;
  private final AdmissionHandler admissions;
  private final UnroutedCalls unrouted = new UnroutedCalls();
  private final ProbeWaits probeWaits = new ProbeWaits();

  CallHandler(
      DispatchContext context,
      ActiveCalls calls,
      MigrationHandler migrations,
      RunDurationRegistry durations,
      TargetHandler targets,
      TargetHealthHandler health,
      LimitHandler limits,
      QuarantineHandler quarantines,
      SpeedHandler speeds,
      AdmissionStrategy admission,
      HedgeHandler hedges) {
    this.speeds = speeds;
    this.quarantines = quarantines;
    this.hedges = hedges;
    this.limits = limits;
    this.permits = new PermitHandler(calls, limits, this);
    this.placement = new CallPlacement(context, limits, durations);
    this.refuser = new CallRefuser(context, calls, durations);
    this.admissions = new AdmissionHandler(context, calls, durations, admission, this::place);
    this.health = health;
    this.durations = durations;
    this.targets = targets;
    this.context = context;
    this.calls = calls;
    this.migrations = migrations;
  }

  void onCallArrived(DispatchEvent.CallArrived event) {
    if (context.isStopped()) {
      // An attempt sent now would lose its answer with the process.
      refuser.refuseUnresolved(event, Reason.NOT_READY, "the daemon has stopped");
      return;
    }
    if (isRoutingLoaded()) {
      resolve(event);
      return;
    }
    boolean mayLoadSoon = !context.targets().isStoreUnreachable() && context.drain().isEmpty();
    if (mayLoadSoon && unrouted.offer(event)) {
      context.logDecision(
          "hold", event.profile().requestId(), "", "", "the daemon has not loaded its routing yet");
      return;
    }
    refuser.refuseNotLoaded(event.nowMs(), event);
  }

  /** Resolves and places the held calls if the routing sheet and the target list are loaded. */
  void releaseHeld(long nowMs) {
    if (isRoutingLoaded()) {
      unrouted.takeAll().forEach(held -> resolve(held.at(nowMs)));
    }
  }

  private boolean isRoutingLoaded() {
    return context.index().isPresent() && context.targets().hasList();
  }

  private void resolve(DispatchEvent.CallArrived event) {
    CallResolution resolution = CallResolution.resolve(context.index().get(), event.profile());
    if (resolution.refusal().isPresent()) {
      Reason reason = resolution.refusal().get();
      refuser.refuseUnresolved(event, reason, describeRefusal(reason));
      return;
    }
    ActiveCall call = admit(event, resolution);
    calls.add(call);
    admissions.recordArrival(call);
    context.retryBudget(call.service()).recordRequest(event.nowMs());
    hedges.onArrived(event.nowMs(), call);
    if (event.nowMs() >= call.deadlineMs()) {
      String message =
          "the deadline passed " + (event.nowMs() - call.deadlineMs()) + " ms before placement";
      calls.refuse(call, Reason.DEADLINE, message, 0);
    } else {
      place(event.nowMs(), call, "arrived", Optional.empty());
    }
  }

  void onAnswerStarted(DispatchEvent.AnswerStarted event) {
    // A replaced attempt may have started the answer before it was aborted.
    calls.find(event.callId()).ifPresent(call -> call.answerStarted(event.nowMs()));
    Optional<ActiveCall> found = calls.findAttempt(event.callId(), event.attempt());
    if (found.isEmpty()) {
      return;
    }
    ActiveCall call = found.get();
    RoutedTarget target = call.target().orElseThrow();
    context.targetUse().markPromptRead(call.callId(), target.id());
    speeds.onAnswerStarted(event.nowMs(), call, target);
    migrations.onAnswerStarted(event.nowMs(), call, target);
  }

  void onAnswerDelivered(DispatchEvent.AnswerDelivered event) {
    Optional<ActiveCall> current = calls.findAttempt(event.callId(), event.attempt());
    current.ifPresent(call -> recordOutcome(event, call));
    // A replaced attempt may have completed the answer before it was aborted.
    calls
        .find(event.callId())
        .ifPresent(
            call -> {
              String targetId = current.map(ActiveCalls::targetIdOf).orElse("");
              String outcome = "status=" + event.status() + " " + event.detail();
              calls.logDecision("deliver", call, targetId, outcome.stripTrailing());
              calls.end(call);
            });
  }

  private void recordOutcome(DispatchEvent.AnswerDelivered event, ActiveCall call) {
    String targetId = ActiveCalls.targetIdOf(call);
    hedges.onAnswered(event, call);
    recordSurvival(event.nowMs(), call);
    if (event.status() < MIN_SERVER_ERROR_STATUS) {
      health.onSuccess(event.nowMs(), targetId);
      recordDuration(event.nowMs(), call);
    } else {
      health.onFailure(event.nowMs(), targetId);
    }
  }

  /** Records that a target survived a call that it answered. A run without an event never began. */
  private void recordSurvival(long nowMs, ActiveCall call) {
    boolean began = call.isStarted() || !call.route().kind().isStreaming();
    if (began && call.markSurvived()) {
      long answeredAtMs = call.isStarted() ? call.startedAtMs() : nowMs;
      quarantines.onSurvived(nowMs, call, answeredAtMs);
    }
  }

  void onCallerLeft(DispatchEvent.CallerLeft event) {
    unrouted.remove(event.callId());
    calls
        .find(event.callId())
        .ifPresent(
            call -> {
              calls.logDecision("caller-left", call, ActiveCalls.targetIdOf(call), "");
              calls.end(call);
            });
  }

  void onAttemptFailed(DispatchEvent.AttemptFailed event) {
    if (hedges.onAttemptFailed(event)) {
      return;
    }
    Optional<ActiveCall> found = calls.findAttempt(event.callId(), event.attempt());
    if (found.isEmpty()) {
      return;
    }
    ActiveCall call = found.get();
    RoutedTarget target = call.target().orElseThrow();
    if (event.fault().countsAgainstTarget()) {
      health.onFailure(event.nowMs(), target.id());
    }
    calls.logDecision("attempt-failed", call, target.id(), describeFailure(event, call));
    final boolean probed = quarantines.onAttemptFailed(event, call, target);
    if (event.fault() == AttemptFault.SERVER_ERROR) {
      recordSurvival(event.nowMs(), call);
    }
    calls.releaseTarget(call);
    if (event.started()) {
      call.answerStarted(event.nowMs());
    }
    call.attemptFailed(event.fault());
    if (showsTargetHasLeft(context, event.fault())) {
      targets.markLeaving(event.nowMs(), target.id());
    }
    if (quarantines.mayCrashAnother(event, call, target)) {
      calls.refuse(
          call,
          Reason.TARGET_FAILED,
          "the target crashed, and so did another one under a similar request",
          0);
      return;
    }
    if (migrations.tryContinue(event, call, target, () -> canRunAnew(event.nowMs(), call))) {
      return;
    }
    if (event.started() && call.route().kind() != RouteKind.RESUMABLE_STREAMING) {
      calls.abort(call, Reason.TARGET_FAILED, "the attempt failed after its answer had started");
      return;
    }
    if (probed && call.route().kind() == RouteKind.IDEMPOTENT) {
      // Sent to a second target at once, the call might crash that one, too.
      probeWaits.add(call, target.id(), event);
      return;
    }
    retryOrFail(event, call);
  }

  /** Decides on the calls that waited to learn whether their target has crashed. */
  void onTargetProbed(DispatchEvent.TargetProbed event) {
    boolean crashed = event.outcome() == ProbeOutcome.REFUSED;
    probeWaits
        .takeForTarget(event.targetId())
        .forEach(wait -> onProbeEnded(event.nowMs(), wait, crashed));
  }

  private void onProbeEnded(long nowMs, ProbeWaits.Wait wait, boolean crashed) {
    if (calls.find(wait.call().callId()).isEmpty()) {
      return;
    }
    if (crashed) {
      calls.refuse(wait.call(), Reason.TARGET_FAILED, "the target crashed during the request", 0);
      return;
    }
    retryOrFail(wait.failure().at(nowMs), wait.call());
  }

  /** Describes a failure, with what the request carried if its answer broke off. */
  private static String describeFailure(DispatchEvent.AttemptFailed event, ActiveCall call) {
    String failure = event.fault() + " " + event.detail();
    boolean brokeOff =
        event.fault() == AttemptFault.LOST || event.fault() == AttemptFault.BROKEN_ANSWER;
    return brokeOff ? failure + " traits=" + call.traits() : failure;
  }

  void onPermitAnswered(DispatchEvent.PermitAnswered event) {
    permits.onPermitAnswered(event);
  }

  @Override
  public void onPermitStarted(long nowMs, PermitWait wait) {
    if (refuseForDrain(nowMs, wait.call())) {
      return;
    }
    if (context.acceptsCalls(nowMs, wait.target().id())) {
      String inputs = wait.why() + " " + limits.describe(nowMs, wait.target());
      calls.send(nowMs, wait.call(), wait.target(), Optional.empty(), inputs);
      return;
    }
    place(nowMs, wait.call(), wait.why(), wait.failure());
  }

  @Override
  public void onPermitDenied(long nowMs, PermitWait wait) {
    place(nowMs, wait.call(), wait.why(), wait.failure());
  }

  void tick(long nowMs) {
    permits.tick(nowMs);
    probeWaits.takeOverdue(nowMs).forEach(wait -> onProbeEnded(nowMs, wait, false));
    boolean mayLoadSoon = !context.targets().isStoreUnreachable();
    List<DispatchEvent.CallArrived> overdue =
        mayLoadSoon ? unrouted.takeExpired(nowMs) : unrouted.takeAll();
    overdue.forEach(call -> refuser.refuseNotLoaded(nowMs, call));
    for (ActiveCall call : calls.all()) {
      if (nowMs >= call.deadlineMs()) {
        long limitMs = call.deadlineMs() - call.profile().arrivedMs();
        calls.abort(call, Reason.DEADLINE, "no complete answer within " + limitMs + " ms");
      }
    }
  }

  /** Places the waiting calls for which room may have appeared. */
  void retryWaiting(long nowMs, boolean tick) {
    admissions.retry(nowMs, tick);
  }

  /** Returns the calls that wait at this daemon. */
  AdmissionHandler admissions() {
    return admissions;
  }

  /** Aborts all calls in progress, because the process must stop. */
  void abortAll(String why) {
    calls.all().forEach(call -> calls.abort(call, Reason.NOT_READY, why));
  }

  /**
   * Returns whether a failure shows that its target has left: another one has its address, or
   * nothing listens there and the store cannot report its removal.
   */
  static boolean showsTargetHasLeft(DispatchContext context, AttemptFault fault) {
    return fault == AttemptFault.WRONG_TARGET
        || fault == AttemptFault.NOBODY_THERE && context.targets().isStoreUnreachable();
  }

  /**
   * Refuses a call that the stop of this daemon might cut. A call that may have run goes on,
   * because its caller could not repeat it.
   *
   * @return whether the call was refused
   */
  private boolean refuseForDrain(long nowMs, ActiveCall call) {
    if (call.verdict() != Verdict.NOT_RUN) {
      return false;
    }
    long expectedMs = demandOf(call).map(durationsOf(call)::estimateMs).orElse(0L);
    Optional<Long> retryAfterMs =
        context
            .drain()
            .flatMap(
                drain ->
                    drain.findRetryAfter(
                        nowMs, nowMs + expectedMs, call.deadlineMs(), context.zoneDaemonCounts()));
    if (retryAfterMs.isEmpty()) {
      return false;
    }
    String message =
        "the daemon is draining and may stop before the call ends: stopIn="
            + (context.drain().get().endMs() - nowMs)
            + "ms deadlineIn="
            + (call.deadlineMs() - nowMs)
            + "ms expected="
            + expectedMs
            + "ms";
    calls.refuse(call, Reason.NOT_READY, message, retryAfterMs.get());
    return true;
  }

  private ActiveCall admit(DispatchEvent.CallArrived event, CallResolution resolution) {
    Route route = resolution.route().orElseThrow();
    Optional<RoutedOrganisation> organisation = resolution.organisation();
    int priority =
        organisation
            .filter(found -> found.priority().isPresent())
            .map(found -> found.priority().getAsInt())
            .orElse(route.priority());
    return new ActiveCall(
        event.callId(),
        event.profile(),
        event.content(),
        route,
        RouteIndex.chooseService(route, context.randomLong()),
        organisation.map(RoutedOrganisation::name),
        priority);
  }

  /**
   * Places a call on a target, or refuses it.
   *
   * @param failure the failure of the attempt before; empty for the first attempt
   */
  private void place(
      long nowMs, ActiveCall call, String why, Optional<DispatchEvent.AttemptFailed> failure) {
    if (refuseForDrain(nowMs, call)) {
      return;
    }
    Optional<Quarantine> quarantine =
        call.isStarted() ? Optional.empty() : quarantines.findRefusal(nowMs, call);
    if (quarantine.isPresent()) {
      quarantines.refuse(nowMs, call, quarantine.get());
      return;
    }
    Optional<WaitingCall> waiting = admissions.describe(call);
    CallPlacement.Choice choice =
        placement.choose(nowMs, call, admissions.filterFor(call.service(), waiting));
    if (choice.permitTarget().isPresent()) {
      RoutedTarget limited = choice.permitTarget().get();
      permits.request(nowMs, call, limited, why, failure, choice.latestStartMs());
      return;
    }
    AdmissionDecision decision = admissions.decide(nowMs, call, waiting, choice);
    if (decision instanceof AdmissionDecision.Send) {
      String inputs = why + " " + choice.describe();
      calls.send(nowMs, call, choice.target().get().target(), Optional.empty(), inputs);
    } else if (decision instanceof AdmissionDecision.Wait wait) {
      admissions.hold(nowMs, call, waiting.get(), wait, why, failure);
    } else if (decision instanceof AdmissionDecision.Refuse refusal && !call.isStarted()) {
      refuser.refuseUnplaced(nowMs, call, choice, failure, refusal);
    } else {
      calls.abort(call, Reason.NO_CAPACITY, "no other target has capacity to resume the stream");
    }
  }

  private void retryOrFail(DispatchEvent.AttemptFailed event, ActiveCall call) {
    boolean repeatable = call.verdict() == Verdict.NOT_RUN || mayRepeat(call);
    boolean worthwhile =
        call.reachedAttempts() < MAX_REACHED_ATTEMPTS && event.nowMs() < call.deadlineMs();
    if (repeatable
        && worthwhile
        && hasUntriedTarget(event.nowMs(), call)
        && acquireRetry(event, call)) {
      place(event.nowMs(), call, "after " + event.fault(), Optional.of(event));
      return;
    }
    refuser.giveUp(event, call, event.retryAfterMs());
  }

  private boolean mayRepeat(ActiveCall call) {
    return call.route().kind().isRepeatable()
        && !call.isCrashSuspected()
        && call.possibleRuns() < call.route().maxTargets();
  }

  /** Returns whether a call may run once more and a target has capacity for that now. */
  private boolean canRunAnew(long nowMs, ActiveCall call) {
    return mayRepeat(call)
        && call.reachedAttempts() < MAX_REACHED_ATTEMPTS
        && context
            .retryBudget(call.service())
            .isAvailable(nowMs, context.settings(), context.maxDaemons())
        && (call.isStarted() || quarantines.findRefusal(nowMs, call).isEmpty())
        && placement.choose(nowMs, call).target().isPresent();
  }

  private boolean hasUntriedTarget(long nowMs, ActiveCall call) {
    return context.candidates(call.service(), nowMs).stream()
        .anyMatch(candidate -> !call.wasTried(candidate.target().id()));
  }

  private boolean acquireRetry(DispatchEvent.AttemptFailed event, ActiveCall call) {
    if (call.reachedAttempts() == 0) {
      return true;
    }
    return context
        .retryBudget(call.service())
        .tryAcquire(event.nowMs(), context.settings(), context.maxDaemons());
  }

  private static String describeRefusal(Reason reason) {
    return reason == Reason.NOT_FOUND
        ? "no route in the routing sheet matches this host and path"
        : "no organisation in the routing sheet has this API key";
  }

  private void recordDuration(long nowMs, ActiveCall call) {
    demandOf(call)
        .ifPresent(
            demand -> {
              durationsOf(call).recordPrefill(demand, call.firstEventDelayMs());
              durationsOf(call).recordDecode(demand, nowMs - call.startedAtMs());
              admissions.recordRun(nowMs, call);
            });
  }

  private RunDurationEstimator durationsOf(ActiveCall call) {
    return durations.getEstimator(call.service());
  }

  private static Optional<GenerationDemand> demandOf(ActiveCall call) {
    return call.profile().generation();
  }
}
