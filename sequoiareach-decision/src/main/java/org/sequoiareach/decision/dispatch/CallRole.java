package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.Route;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedOrganisation;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.TargetUse;

/** Decides on each request: admits, places, repeats and refuses it. Not thread-safe. */
final class CallRole {

  /** Targets that one request may reach in vain before its caller is told to come back. */
  private static final int MOST_ARRIVALS = 3;

  /** The pause a caller is told when nothing better is known, and its spread. */
  private static final long LEAST_RETRY_AFTER_MS = 300;

  private static final long MOST_RETRY_AFTER_MS = 900;

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final MoveRole moves;
  private final PlacementStrategy engines = new PrefillPlacement();
  private final PlacementStrategy plain = new LeastOutstandingPlacement();
  private final RunDurations durations;

  CallRole(DispatchContext context, ActiveCalls calls, MoveRole moves, RunDurations durations) {
    this.durations = durations;
    this.context = context;
    this.calls = calls;
    this.moves = moves;
  }

  void arrived(DispatchEvent.CallArrived event) {
    if (context.index().isEmpty() || !context.targets().isKnown()) {
      String missing = context.index().isEmpty() ? "sheet" : "list of targets";
      refuseNew(event, Reason.NOT_READY, "the daemon has no " + missing + " yet");
      return;
    }
    CallResolution resolution = CallResolution.resolve(context.index().get(), event.profile());
    if (resolution.refusal().isPresent()) {
      Reason reason = resolution.refusal().get();
      refuseNew(event, reason, "the sheet has no " + missingPart(reason));
      return;
    }
    ActiveCall call = admit(event, resolution);
    calls.add(call);
    context.budgetOf(call.service()).requested(event.nowMs());
    Optional<Long> comeBackMs = findDrainRetryAfter(event.nowMs(), call);
    if (event.nowMs() >= call.deadlineMs()) {
      calls.refuse(call, Reason.DEADLINE, "the deadline has passed", 0);
    } else if (comeBackMs.isPresent()) {
      String message = "the daemon stops before the stream would end";
      calls.refuse(call, Reason.NOT_READY, message, comeBackMs.get());
    } else {
      place(event.nowMs(), call, "arrived");
    }
  }

  void answerStarted(DispatchEvent.AnswerStarted event) {
    Optional<ActiveCall> found = calls.find(event.callId(), event.attempt());
    if (found.isEmpty()) {
      return;
    }
    ActiveCall call = found.get();
    RoutedTarget target = call.target().orElseThrow();
    call.answerStarted();
    context.ledger().promptRead(call.callId(), target.id());
    moves.answerStarted(event.nowMs(), call, target);
  }

  void delivered(DispatchEvent.AnswerDelivered event) {
    calls
        .find(event.callId(), event.attempt())
        .ifPresent(
            call -> {
              String targetId = ActiveCalls.targetIdOf(call);
              context.ejection().recordSuccess(targetId);
              calls.note("deliver", call, targetId, "status=" + event.status());
              demandOf(call)
                  .ifPresent(
                      demand ->
                          durations.ended(demand, event.nowMs() - call.profile().arrivedMs()));
              calls.end(call);
            });
  }

  void callerLeft(DispatchEvent.CallerLeft event) {
    calls
        .find(event.callId())
        .ifPresent(
            call -> {
              calls.note("caller-left", call, ActiveCalls.targetIdOf(call), "");
              calls.end(call);
            });
  }

  void attemptFailed(DispatchEvent.AttemptFailed event) {
    Optional<ActiveCall> found = calls.find(event.callId(), event.attempt());
    if (found.isEmpty()) {
      return;
    }
    ActiveCall call = found.get();
    RoutedTarget target = call.target().orElseThrow();
    judge(event, target);
    calls.note("attempt-failed", call, target.id(), event.fault() + " " + event.detail());
    calls.leaveTarget(call);
    call.failed(event.fault());
    if (moves.survives(event, call, target)) {
      return;
    }
    if (event.started()) {
      calls.giveUp(call, Reason.TARGET_FAILED, "the answer had started");
      return;
    }
    tryAgain(event, call);
  }

  void tick(long nowMs) {
    for (ActiveCall call : calls.all()) {
      if (nowMs >= call.deadlineMs()) {
        calls.giveUp(call, Reason.DEADLINE, "no whole answer came by the deadline");
      }
    }
  }

  /** Ends all requests in progress, because the process must stop. */
  void endAll(String why) {
    calls.all().forEach(call -> calls.giveUp(call, Reason.NOT_READY, why));
  }

  /** Holds a failure against its target. */
  private void judge(DispatchEvent.AttemptFailed event, RoutedTarget target) {
    if (event.fault().targetToBlame() && context.targets().find(target.id()).isPresent()) {
      context.ejection().recordFailure(event.nowMs(), target.id(), context.draw());
    }
    boolean gone = event.fault() == AttemptFault.NOBODY_THERE && context.targets().isStoreAway();
    if (gone || event.fault() == AttemptFault.WRONG_TARGET) {
      context.targets().leaves(target.id());
    }
  }

  private Optional<Long> findDrainRetryAfter(long nowMs, ActiveCall call) {
    Optional<DrainAdmission> drain = context.drain();
    if (drain.isEmpty() || call.route().kind() != RouteKind.STREAMING) {
      return Optional.empty();
    }
    return demandOf(call)
        .flatMap(
            demand ->
                drain
                    .get()
                    .findRetryAfter(
                        nowMs,
                        durations.estimateMs(demand),
                        durations.longestMs(demand),
                        context.zoneDaemons()));
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
        route,
        RouteIndex.chooseService(route, context.draw()),
        organisation.map(RoutedOrganisation::name),
        priority);
  }

  private void place(long nowMs, ActiveCall call, String why) {
    List<Candidate> all = context.candidates(call.service(), nowMs);
    List<Candidate> fresh = new ArrayList<>(all);
    fresh.removeIf(candidate -> call.wasTried(candidate.target().id()));
    PlacementStrategy strategy = demandOf(call).isPresent() ? engines : plain;
    Optional<Candidate> chosen = strategy.choose(demandOf(call), fresh, context.draw());
    if (chosen.isEmpty()) {
      Reason reason = all.isEmpty() ? Reason.NO_TARGET : Reason.NO_CAPACITY;
      String message = "no target of " + call.service() + " has room";
      calls.refuse(call, reason, message, retryAfterMs(roomAgainMs(call)), fullness(call, all));
      return;
    }
    String inputs =
        why
            + " waiting="
            + chosen.get().use().waitingPromptTokens()
            + " calls="
            + chosen.get().use().calls()
            + " memory="
            + chosen.get().use().memoryTokens()
            + " candidates="
            + all.size();
    calls.send(nowMs, call, chosen.get().target(), Optional.empty(), inputs);
  }

  /** Describes the target with the most room, for the log. */
  private static String fullness(ActiveCall call, List<Candidate> candidates) {
    long needed = demandOf(call).map(GenerationDemand::expectedMemoryTokens).orElse(0L);
    return candidates.stream()
        .map(Candidate::use)
        .min(Comparator.comparingLong(TargetUse::memoryTokens))
        .map(
            use ->
                "needed="
                    + needed
                    + " least: calls="
                    + use.calls()
                    + " memory="
                    + use.memoryTokens()
                    + " candidates="
                    + candidates.size())
        .orElse("candidates=0");
  }

  private void tryAgain(DispatchEvent.AttemptFailed event, ActiveCall call) {
    boolean repeatable = call.verdict() == Verdict.NOT_RUN || mayRunAgain(call);
    boolean worthwhile = call.arrivals() < MOST_ARRIVALS && event.nowMs() < call.deadlineMs();
    if (repeatable && worthwhile && hasOther(event.nowMs(), call) && isPaid(event, call)) {
      place(event.nowMs(), call, "after " + event.fault());
      return;
    }
    if (event.fault() == AttemptFault.SERVER_ERROR) {
      calls.note("deliver-error", call, "", event.detail());
      context.log().add(new DispatchEffect.DeliverHeldAnswer(call.callId()));
      calls.end(call);
      return;
    }
    if (call.verdict() == Verdict.NOT_RUN) {
      calls.refuse(call, Reason.NO_CAPACITY, event.detail(), retryAfterMs(event.retryAfterMs()));
      return;
    }
    calls.refuse(call, Reason.TARGET_FAILED, event.detail(), 0);
  }

  private boolean mayRunAgain(ActiveCall call) {
    return call.route().kind().isRepeatable() && call.runs() < call.route().maxTargets();
  }

  private boolean hasOther(long nowMs, ActiveCall call) {
    return context.candidates(call.service(), nowMs).stream()
        .anyMatch(candidate -> !call.wasTried(candidate.target().id()));
  }

  private boolean isPaid(DispatchEvent.AttemptFailed event, ActiveCall call) {
    if (call.arrivals() == 0) {
      return true;
    }
    return context
        .budgetOf(call.service())
        .trySpend(event.nowMs(), context.settings(), context.mostDaemons());
  }

  /**
   * Draws when an engine is likely to have room again. Memory comes back as runs like this one end;
   * after a burst they have all just begun, so most of that time is still to pass.
   */
  private long roomAgainMs(ActiveCall call) {
    long runMs = demandOf(call).map(durations::estimateMs).orElse(0L);
    return context.drawBetween(runMs * 2 / 3, runMs * 4 / 3);
  }

  private long retryAfterMs(long toldMs) {
    return Math.max(toldMs, context.drawBetween(LEAST_RETRY_AFTER_MS, MOST_RETRY_AFTER_MS));
  }

  private void refuseNew(DispatchEvent.CallArrived event, Reason reason, String message) {
    long retryAfterMs = reason == Reason.NOT_READY ? retryAfterMs(0) : 0;
    context.note(
        "refuse",
        event.profile().requestId(),
        "",
        "",
        reason.label() + " " + message + ActiveCalls.comeBack(retryAfterMs));
    context
        .log()
        .add(
            new DispatchEffect.RefuseCall(
                event.callId(), Verdict.NOT_RUN, reason, message, retryAfterMs));
  }

  private static String missingPart(Reason reason) {
    return reason == Reason.NOT_FOUND
        ? "route for this host and path"
        : "organisation with this key";
  }

  private static Optional<GenerationDemand> demandOf(ActiveCall call) {
    return call.profile().generation();
  }
}
