package org.sequoiareach.decision.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.sequoiareach.decision.hedge.HedgeStrategy;
import org.sequoiareach.decision.hedge.ServiceHedging;
import org.sequoiareach.decision.hedge.WithheldReason;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Sends plain repeatable calls whose answer is late to a second target, and decides what follows if
 * one of the two attempts ends. Not thread-safe.
 */
final class HedgeHandler {

  /** The retries of the budget that hedged requests leave to calls whose only attempt fails. */
  private static final int RESERVED_RETRIES = 1;

  /** The interval of log lines on withheld attempts; the metrics count all of them. */
  private static final long WITHHELD_LOG_INTERVAL_MS = 1_000;

  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final TargetHandler targets;
  private final TargetHealthHandler health;
  private final LimitHandler limits;
  private final QuarantineHandler quarantines;
  private final PlacementStrategy placement = new LeastOutstandingPlacement();
  private final Map<String, ServiceHedging> services = new HashMap<>();
  private final PriorityQueue<Due> pending =
      new PriorityQueue<>(Comparator.comparingLong(Due::atMs));
  private final Map<WithheldReason, Long> withheldLoggedMs = new HashMap<>();
  private long wakeUpMs = Long.MAX_VALUE;

  /** The time at which a second target is considered for an attempt. */
  private record Due(long atMs, String callId, int attempt) {}

  HedgeHandler(
      DispatchContext context,
      ActiveCalls calls,
      TargetHandler targets,
      TargetHealthHandler health,
      LimitHandler limits,
      QuarantineHandler quarantines) {
    this.context = context;
    this.calls = calls;
    this.targets = targets;
    this.health = health;
    this.limits = limits;
    this.quarantines = quarantines;
    calls.setSendListener(this::onSent);
    calls.addEndListener(call -> settle(call, false));
  }

  void onArrived(long nowMs, ActiveCall call) {
    if (isEnabled()) {
      service(call).recordRequest(nowMs);
    }
  }

  private void onSent(long nowMs, ActiveCall call) {
    if (!isEnabled() || !mayHedge(call) || call.isHedgeUsed()) {
      return;
    }
    OptionalLong delayMs =
        service(call).delayMs(nowMs, HedgeStrategy.forRatio(context.settings().hedgeRatio()));
    if (delayMs.isPresent() && nowMs + delayMs.getAsLong() < call.deadlineMs()) {
      pending.add(new Due(nowMs + delayMs.getAsLong(), call.callId(), call.attempt()));
      requestWakeUp();
    }
  }

  void onWakeUp(HedgeEvent.WakeUp event) {
    wakeUpMs = Long.MAX_VALUE;
    tick(event.nowMs());
  }

  void tick(long nowMs) {
    if (nowMs > wakeUpMs) {
      // The wake-up was lost or is late.
      wakeUpMs = Long.MAX_VALUE;
    }
    while (!pending.isEmpty()
        && (pending.peek().atMs() <= nowMs || find(pending.peek()).isEmpty())) {
      find(pending.poll()).ifPresent(call -> consider(nowMs, call));
    }
    requestWakeUp();
  }

  private void requestWakeUp() {
    if (!pending.isEmpty() && pending.peek().atMs() < wakeUpMs) {
      wakeUpMs = pending.peek().atMs();
      context.effects().add(new DispatchEffect.WakeAt(wakeUpMs));
    }
  }

  /** Finds the call of an attempt that is in progress and has not begun to answer. */
  private Optional<ActiveCall> find(Due due) {
    return calls
        .findAttempt(due.callId(), due.attempt())
        .filter(call -> !call.isStarted() && !call.isHedgeUsed());
  }

  private void consider(long nowMs, ActiveCall call) {
    if (!isEnabled() || nowMs >= call.deadlineMs()) {
      return;
    }
    if (call.possibleRuns() + 2 > call.route().maxTargets()) {
      withhold(nowMs, call, WithheldReason.MAX_TARGETS);
    } else if (context.drain().isPresent()) {
      withhold(nowMs, call, WithheldReason.DRAINING);
    } else if (quarantines.concerns(call)) {
      withhold(nowMs, call, WithheldReason.QUARANTINE);
    } else {
      sendToSecond(nowMs, call);
    }
  }

  private void sendToSecond(long nowMs, ActiveCall call) {
    List<Candidate> all = context.candidates(call.service(), nowMs);
    List<Candidate> eligible = all.stream().filter(one -> isEligible(nowMs, call, one)).toList();
    Optional<RoutedTarget> second =
        eligible.isEmpty()
            ? Optional.empty()
            : placement
                .choose(Optional.empty(), eligible, context.randomLong())
                .map(Candidate::target);
    if (second.isEmpty()) {
      withhold(nowMs, call, WithheldReason.NO_TARGET);
      return;
    }
    DispatchSettings settings = context.settings();
    int slots = all.stream().mapToInt(one -> one.target().slots()).sum();
    int free = all.stream().mapToInt(HedgeHandler::freeSlots).sum();
    Optional<WithheldReason> obstacle =
        service(call)
            .findObstacle(nowMs, settings.hedgeRatio(), settings.retryWindowMs(), free, slots);
    if (obstacle.isPresent()) {
      withhold(nowMs, call, obstacle.get());
      return;
    }
    if (!context
        .retryBudget(call.service())
        .tryAcquireLeaving(RESERVED_RETRIES, nowMs, settings, context.maxDaemons())) {
      withhold(nowMs, call, WithheldReason.RETRY_BUDGET);
      return;
    }
    service(call).recordSent(nowMs);
    record("sent");
    String inputs =
        "waited=" + (nowMs - call.lastSentAtMs()) + "ms freeSlots=" + free + "/" + slots;
    calls.sendHedge(nowMs, call, second.get(), inputs);
  }

  private boolean isEligible(long nowMs, ActiveCall call, Candidate candidate) {
    return !call.wasTried(candidate.target().id())
        && !limits.isLimited(nowMs, candidate.target())
        && freeSlots(candidate) > 0;
  }

  private static int freeSlots(Candidate candidate) {
    return Math.max(0, candidate.target().slots() - candidate.use().calls());
  }

  /**
   * Considers the failure of one of two concurrent attempts.
   *
   * @return whether nothing else is to be decided, because the other attempt goes on
   */
  boolean onAttemptFailed(DispatchEvent.AttemptFailed event) {
    Optional<ActiveCall> hedged =
        calls.find(event.callId()).filter(call -> call.hedge().isPresent());
    Optional<SentAttempt> found = hedged.flatMap(call -> call.findAttempt(event.attempt()));
    if (found.isEmpty()) {
      // A second attempt that took the place of a failed first one has failed as well.
      calls.findAttempt(event.callId(), event.attempt()).ifPresent(call -> settle(call, false));
      return false;
    }
    ActiveCall call = hedged.get();
    SentAttempt failed = found.get();
    if (event.started()) {
      // The caller has a part of this answer, so the other one is of no use any more.
      decide(event.nowMs(), call, failed.number());
      return false;
    }
    final RoutedTarget target = failed.target();
    if (event.fault().countsAgainstTarget()) {
      health.onFailure(event.nowMs(), target.id());
    }
    calls.logDecision(
        "attempt-failed",
        call,
        target.id(),
        event.fault() + " " + event.detail() + " number=" + failed.number() + " another goes on");
    if (quarantines.onAttemptFailed(event, call, target)) {
      call.suspectCrash();
    }
    context.targetUse().remove(call.callId(), target.id());
    if (failed.number() == call.attempt()) {
      call.attemptFailed(event.fault());
    } else {
      call.hedgeFailed(event.fault());
      settle(call, false);
    }
    if (CallHandler.showsTargetHasLeft(context, event.fault())) {
      targets.markLeaving(event.nowMs(), target.id());
    }
    if (quarantines.mayCrashAnother(event, call, target)) {
      calls.refuse(
          call,
          Reason.TARGET_FAILED,
          "the target crashed, and so did another one under a similar request",
          0);
    }
    return true;
  }

  void onAttemptWon(HedgeEvent.AttemptWon event) {
    calls
        .find(event.callId())
        .filter(call -> call.hedge().isPresent())
        .filter(call -> call.findAttempt(event.attempt()).isPresent())
        .ifPresent(call -> decide(event.nowMs(), call, event.attempt()));
  }

  /** Gives up the attempt that is not delivered. */
  private void decide(long nowMs, ActiveCall call, int winner) {
    boolean hedgeWon = winner != call.attempt();
    if (hedgeWon) {
      calls.releaseTarget(call);
      // Its answer takes at least this long. Left out, the slow answers would be forgotten.
      service(call).recordAnswer(nowMs, nowMs - call.lastSentAtMs());
    } else {
      calls.releaseHedge(call);
    }
    call.attemptWon(winner);
    settle(call, hedgeWon);
  }

  void onAnswered(DispatchEvent.AnswerDelivered event, ActiveCall call) {
    if (isEnabled() && isPlain(call) && event.status() < MIN_SERVER_ERROR_STATUS) {
      service(call).recordAnswer(event.nowMs(), event.nowMs() - call.lastSentAtMs());
    }
    // The first attempt failed, so the second one was not announced as the winner.
    settle(call, call.isHedgeUsed() && call.hedge().isEmpty());
  }

  /** Counts the outcome of a hedged attempt once. */
  private void settle(ActiveCall call, boolean won) {
    if (!call.settleHedge()) {
      return;
    }
    service(call).recordOutcome(won);
    record(won ? "won" : "lost");
    calls.logDecision(
        won ? "hedge-won" : "hedge-lost",
        call,
        ActiveCalls.targetIdOf(call),
        "service=" + call.service());
  }

  private void withhold(long nowMs, ActiveCall call, WithheldReason reason) {
    record("withheld." + reason.label());
    Long loggedMs = withheldLoggedMs.get(reason);
    if (loggedMs == null || nowMs - loggedMs >= WITHHELD_LOG_INTERVAL_MS) {
      withheldLoggedMs.put(reason, nowMs);
      calls.logDecision(
          "hedge-withheld",
          call,
          ActiveCalls.targetIdOf(call),
          reason.label() + " service=" + call.service());
    }
  }

  private void record(String outcome) {
    context.effects().add(new DispatchEffect.RecordHedge(outcome));
  }

  private boolean isEnabled() {
    return context.settings().hedgeRatio() > 0;
  }

  /** Streams are left out: a second run would cost a prefill and memory of an engine. */
  private boolean mayHedge(ActiveCall call) {
    return call.route().kind() == RouteKind.IDEMPOTENT
        && isPlain(call)
        && call.route().maxTargets() > 1;
  }

  /** Judges by the service, since the caller may describe a generation in any request. */
  private boolean isPlain(ActiveCall call) {
    return !call.route().kind().isStreaming() && context.engineTraits(call.service()).isEmpty();
  }

  private ServiceHedging service(ActiveCall call) {
    return services.computeIfAbsent(call.service(), name -> new ServiceHedging());
  }
}
