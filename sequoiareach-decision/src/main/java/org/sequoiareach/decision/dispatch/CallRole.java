package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.Route;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedOrganisation;
import org.sequoiareach.model.route.RoutedService;
import org.sequoiareach.model.route.RoutedTarget;

/** Decides on each request from its arrival to its end. Not thread-safe. */
final class CallRole {

  /** A decision older than this is not carried out: the daemon was paused in between. */
  private static final long SEND_WITHIN_MS = 400;

  /** Targets that one request may reach in vain before its caller is told to come back. */
  private static final int MOST_ARRIVALS = 3;

  /** The pause a caller is told when nothing better is known, and its spread. */
  private static final long LEAST_RETRY_AFTER_MS = 300;

  private static final long MOST_RETRY_AFTER_MS = 900;

  /** Another daemon can take the request at once. */
  private static final long SOON_MS = 20;

  private final DispatchContext context;
  private final Map<String, ActiveCall> calls = new LinkedHashMap<>();
  private final PlacementStrategy engines = new PrefillPlacement();
  private final PlacementStrategy plain = new LeastOutstandingPlacement();
  private final RunMover mover = new RunMover();
  private final RunDurations durations = new RunDurations();
  private long endOfLifeMs = Long.MAX_VALUE;

  CallRole(DispatchContext context) {
    this.context = context;
  }

  int count() {
    return calls.size();
  }

  /** Tells whether a request in progress is at a target. */
  boolean uses(String targetId) {
    return calls.values().stream().anyMatch(call -> call.isAt(targetId));
  }

  void arrived(DispatchEvent.CallArrived event) {
    CallProfile profile = event.profile();
    if (context.index().isEmpty() || !context.targets().isKnown()) {
      String missing = context.index().isEmpty() ? "sheet" : "list of targets";
      refuseNew(event, Reason.NOT_READY, "the daemon has no " + missing + " yet");
      return;
    }
    RouteIndex index = context.index().get();
    CallResolution resolution = CallResolution.resolve(index, profile);
    if (resolution.refusal().isPresent()) {
      Reason reason = resolution.refusal().get();
      refuseNew(event, reason, "the sheet has no " + missingPart(reason));
      return;
    }
    ActiveCall call = admit(event, resolution);
    calls.put(call.callId(), call);
    context.budgetOf(call.service()).requested(event.nowMs());
    if (event.nowMs() >= call.deadlineMs()) {
      refuse(call, Reason.DEADLINE, "the deadline has passed", 0);
      return;
    }
    if (outlivesDaemon(event.nowMs(), call)) {
      // Its caller's next attempt reaches a daemon that can see it to its end.
      refuse(call, Reason.NOT_READY, "the daemon stops before the stream would end", SOON_MS);
      return;
    }
    place(event.nowMs(), call, "arrived");
  }

  /** Sets when the requests that are still in progress are cut, because the daemon stops. */
  void endsAt(long atMs) {
    endOfLifeMs = atMs;
  }

  private boolean outlivesDaemon(long nowMs, ActiveCall call) {
    return demandOf(call)
        .filter(demand -> call.route().kind() == RouteKind.STREAMING)
        .filter(demand -> durations.estimateMs(demand) > endOfLifeMs - nowMs)
        .isPresent();
  }

  void answerStarted(DispatchEvent.AnswerStarted event) {
    find(event.callId(), event.attempt())
        .ifPresent(
            call -> {
              call.answerStarted();
              call.target()
                  .ifPresent(
                      target -> {
                        context.ledger().promptRead(call.callId(), target.id());
                        noteContinued(event.nowMs(), call, target);
                      });
            });
  }

  private void noteContinued(long nowMs, ActiveCall call, RoutedTarget target) {
    Optional<RunMove> move = mover.find(call.callId());
    if (move.filter(m -> m.step() == RunMove.Step.CONTINUING).isEmpty()) {
      return;
    }
    note("moved", call, target.id(), "after=" + (nowMs - move.get().noticedMs()) + "ms");
    mover.ended(call.callId());
    if (!context.targets().isPlaceable(target.id(), nowMs)) {
      mover.begin(nowMs, target, List.of(call), allCopiesMs(target));
    }
  }

  void delivered(DispatchEvent.AnswerDelivered event) {
    find(event.callId(), event.attempt())
        .ifPresent(
            call -> {
              String targetId = call.target().map(RoutedTarget::id).orElse("");
              context.ejection().succeeded(targetId);
              note("deliver", call, targetId, "status=" + event.status());
              demandOf(call)
                  .ifPresent(
                      demand ->
                          durations.ended(demand, event.nowMs() - call.profile().arrivedMs()));
              end(call);
            });
  }

  void callerLeft(DispatchEvent.CallerLeft event) {
    ActiveCall call = calls.get(event.callId());
    if (call == null) {
      return;
    }
    note("caller-left", call, call.target().map(RoutedTarget::id).orElse(""), "");
    end(call);
  }

  void attemptFailed(DispatchEvent.AttemptFailed event) {
    Optional<ActiveCall> found = find(event.callId(), event.attempt());
    if (found.isEmpty()) {
      return;
    }
    ActiveCall call = found.get();
    RoutedTarget target = call.target().orElseThrow();
    if (event.fault().targetToBlame() && context.targets().find(target.id()).isPresent()) {
      context.ejection().failed(event.nowMs(), target.id(), context.draw());
    }
    note("attempt-failed", call, target.id(), event.fault() + " " + event.detail());
    context.ledger().leave(call.callId(), target.id());
    call.failed(event.fault());
    boolean gone = event.fault() == AttemptFault.NOBODY_THERE && context.targets().isStoreAway();
    if (gone || event.fault() == AttemptFault.WRONG_TARGET) {
      context.targets().leaves(target.id());
    }
    if (mover.find(call.callId()).isPresent() && saveRun(event, call)) {
      return;
    }
    if (event.started()) {
      note("cut", call, target.id(), "the answer had started");
      context.log().add(new DispatchEffect.CutCall(call.callId(), Reason.TARGET_FAILED));
      end(call);
      return;
    }
    tryAgain(event, call);
  }

  /** Goes on with a run whose source has ended, from the copy that was made of it. */
  private boolean saveRun(DispatchEvent.AttemptFailed event, ActiveCall call) {
    RunMove move = mover.find(call.callId()).orElseThrow();
    if (move.step() == RunMove.Step.STOPPING) {
      // The source ends its answer as it stops the run; the last copy is still to come.
      return true;
    }
    if (move.handle().isEmpty() || move.destination().isEmpty()) {
      return false;
    }
    if (move.step() != RunMove.Step.CONTINUING) {
      move.continuing(event.nowMs());
      continueAt(event.nowMs(), call, move, move.destination().get(), "the engine was lost");
      return true;
    }
    boolean tooLate = event.nowMs() - move.noticedMs() > RunMover.LATEST_STOP_MS;
    if (event.fault().mayHaveRun() || move.isBackAtSource() || tooLate) {
      return false;
    }
    move.backAtSource();
    continueAt(event.nowMs(), call, move, move.source(), "the destination rejected the run");
    return true;
  }

  private void continueAt(
      long nowMs, ActiveCall call, RunMove move, RoutedTarget engine, String why) {
    send(nowMs, call, engine, Optional.of(continuationOf(move)), why);
  }

  void runCopied(DispatchEvent.RunCopied event) {
    mover
        .find(event.callId())
        .ifPresent(
            move ->
                note(
                    "copy",
                    move.call(),
                    move.destination().map(RoutedTarget::id).orElse(""),
                    move.step()
                        + " round="
                        + event.round()
                        + " outcome="
                        + event.outcome()
                        + " took="
                        + (event.nowMs() - move.stepStartedMs())
                        + "ms"));
    List<DispatchEffect> next = mover.copied(event, move -> continueRun(event.nowMs(), move));
    next.forEach(context.log()::add);
    endLost(event);
  }

  /** Ends a call whose run has stopped for a copy that did not come about. */
  private void endLost(DispatchEvent.RunCopied event) {
    ActiveCall call = calls.get(event.callId());
    if (call == null || call.target().isPresent() || mover.find(event.callId()).isPresent()) {
      return;
    }
    note("cut", call, "", "the run was stopped and its copy failed");
    if (call.isStarted()) {
      context.log().add(new DispatchEffect.CutCall(call.callId(), Reason.TARGET_FAILED));
      end(call);
    } else {
      refuse(call, Reason.TARGET_FAILED, "the engine left before its answer began", 0);
    }
  }

  /** Moves the running generations of engines that leave, in the order of the engines. */
  void engineLeaves(long nowMs, RoutedTarget engine) {
    List<ActiveCall> runs =
        calls.values().stream()
            .filter(call -> call.isAt(engine.id()) && call.route().kind() == RouteKind.STREAMING)
            .filter(call -> canMove(call))
            .toList();
    if (runs.isEmpty()) {
      return;
    }
    context.note(
        "move-runs", "", "", engine.id(), "runs=" + runs.size() + " address=" + engine.address());
    mover.begin(nowMs, engine, runs, allCopiesMs(engine));
    advanceMoves(nowMs);
  }

  private long allCopiesMs(RoutedTarget engine) {
    long tokens = context.ledger().useOf(engine.id()).memoryTokens();
    return context
        .engineOf(engine.service())
        .map(traits -> RunMover.copyMs(tokens, traits))
        .orElse(0L);
  }

  void tick(long nowMs) {
    advanceMoves(nowMs);
    for (ActiveCall call : List.copyOf(calls.values())) {
      if (nowMs >= call.deadlineMs()) {
        expire(call);
      }
    }
  }

  /** Ends all requests in progress, because the process must stop. */
  void endAll(String why) {
    for (ActiveCall call : List.copyOf(calls.values())) {
      note("cut", call, call.target().map(RoutedTarget::id).orElse(""), why);
      if (call.isStarted()) {
        context.log().add(new DispatchEffect.CutCall(call.callId(), Reason.NOT_READY));
        end(call);
      } else {
        refuse(call, Reason.NOT_READY, why, 0);
      }
    }
  }

  private void advanceMoves(long nowMs) {
    context.log().addAll(mover.advance(nowMs, call -> context.candidates(call.service(), nowMs)));
  }

  private boolean canMove(ActiveCall call) {
    return context.engineOf(call.service()).filter(engine -> engine.canMoveRuns()).isPresent();
  }

  private DispatchEffect continueRun(long nowMs, RunMove move) {
    RoutedTarget to = move.destination().orElseThrow();
    move.call()
        .target()
        .ifPresent(source -> context.ledger().leave(move.call().callId(), source.id()));
    note("continue", move.call(), to.id(), "handle=" + move.handle());
    return sendCall(nowMs, move.call(), to, Optional.of(continuationOf(move)));
  }

  private static Continuation continuationOf(RunMove move) {
    return new Continuation(move.source().address(), move.handle());
  }

  private void expire(ActiveCall call) {
    if (call.isStarted()) {
      note("cut", call, call.target().map(RoutedTarget::id).orElse(""), "deadline");
      context.log().add(new DispatchEffect.CutCall(call.callId(), Reason.DEADLINE));
      end(call);
      return;
    }
    refuse(call, Reason.DEADLINE, "no answer came by the deadline", 0);
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
    Optional<Candidate> chosen = strategyOf(call).choose(demandOf(call), fresh, context.draw());
    if (chosen.isPresent()) {
      String inputs =
          why
              + " waiting="
              + chosen.get().use().waitingPromptTokens()
              + " calls="
              + chosen.get().use().calls()
              + " candidates="
              + all.size();
      send(nowMs, call, chosen.get().target(), Optional.empty(), inputs);
      return;
    }
    Reason reason = all.isEmpty() ? Reason.NO_TARGET : Reason.NO_CAPACITY;
    refuse(call, reason, "no target of " + call.service() + " has room", retryAfterMs(0));
  }

  private void send(
      long nowMs,
      ActiveCall call,
      RoutedTarget target,
      Optional<Continuation> continuation,
      String inputs) {
    context.log().add(sendCall(nowMs, call, target, continuation));
    note("route", call, target.id(), inputs);
  }

  private DispatchEffect sendCall(
      long nowMs, ActiveCall call, RoutedTarget target, Optional<Continuation> continuation) {
    call.sent(target);
    Optional<GenerationDemand> demand = demandOf(call);
    context
        .ledger()
        .enter(
            call.callId(),
            target.id(),
            continuation.isPresent() ? 0 : demand.map(GenerationDemand::promptTokens).orElse(0L),
            demand.map(GenerationDemand::expectedMemoryTokens).orElse(0L));
    return new DispatchEffect.SendCall(
        call.callId(),
        call.attempt(),
        target,
        call.route().kind(),
        call.organisation(),
        call.priority(),
        connectionShare(call.service()),
        nowMs + SEND_WITHIN_MS,
        call.deadlineMs(),
        continuation);
  }

  /** Splits the connections that a target takes equally among the daemons. */
  private int connectionShare(String service) {
    int limit =
        context
            .index()
            .flatMap(index -> index.findService(service))
            .map(RoutedService::connectionLimit)
            .orElse(Integer.MAX_VALUE);
    return Math.max(1, limit / context.mostDaemons());
  }

  private void tryAgain(DispatchEvent.AttemptFailed event, ActiveCall call) {
    boolean repeatable = call.verdict() == Verdict.NOT_RUN || mayRunAgain(call);
    boolean worthwhile = call.arrivals() < MOST_ARRIVALS && event.nowMs() < call.deadlineMs();
    if (repeatable && worthwhile && hasOther(event.nowMs(), call) && isPaid(event, call)) {
      place(event.nowMs(), call, "after " + event.fault());
      return;
    }
    if (event.fault() == AttemptFault.SERVER_ERROR) {
      note("deliver-error", call, "", event.detail());
      context.log().add(new DispatchEffect.DeliverHeldAnswer(call.callId()));
      end(call);
      return;
    }
    if (call.verdict() == Verdict.NOT_RUN) {
      refuse(call, Reason.NO_CAPACITY, event.detail(), retryAfterMs(event.retryAfterMs()));
      return;
    }
    refuse(call, Reason.TARGET_FAILED, event.detail(), 0);
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

  private long retryAfterMs(long toldMs) {
    return Math.max(toldMs, context.drawBetween(LEAST_RETRY_AFTER_MS, MOST_RETRY_AFTER_MS));
  }

  private void refuse(ActiveCall call, Reason reason, String message, long retryAfterMs) {
    Verdict verdict = call.verdictIfEnded();
    String targetId = call.target().map(RoutedTarget::id).orElse("");
    note("refuse", call, targetId, reason.label() + " " + verdict.label() + " " + message);
    context
        .log()
        .add(new DispatchEffect.RefuseCall(call.callId(), verdict, reason, message, retryAfterMs));
    end(call);
  }

  private void refuseNew(DispatchEvent.CallArrived event, Reason reason, String message) {
    long retryAfterMs = reason == Reason.NOT_READY ? retryAfterMs(0) : 0;
    context.note("refuse", event.profile().requestId(), "", "", reason.label() + " " + message);
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

  private void end(ActiveCall call) {
    calls.remove(call.callId());
    call.target().ifPresent(target -> context.ledger().leave(call.callId(), target.id()));
    mover.ended(call.callId()).ifPresent(context.log()::add);
  }

  private Optional<ActiveCall> find(String callId, int attempt) {
    return Optional.ofNullable(calls.get(callId))
        .filter(call -> call.attempt() == attempt && call.target().isPresent());
  }

  private PlacementStrategy strategyOf(ActiveCall call) {
    return call.profile().generation().isPresent() ? engines : plain;
  }

  private static Optional<GenerationDemand> demandOf(ActiveCall call) {
    return call.profile().generation();
  }

  private void note(String decision, ActiveCall call, String targetId, String reason) {
    context.note(
        decision,
        call.profile().requestId(),
        call.organisation().orElse(""),
        targetId,
        "route=" + call.route().name() + " attempt=" + call.attempt() + " " + reason);
  }
}
