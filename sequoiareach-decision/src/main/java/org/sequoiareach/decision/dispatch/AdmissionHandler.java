package org.sequoiareach.decision.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.sequoiareach.decision.admission.AdmissionDecision;
import org.sequoiareach.decision.admission.AdmissionRequest;
import org.sequoiareach.decision.admission.AdmissionStrategy;
import org.sequoiareach.decision.admission.EngineLoad;
import org.sequoiareach.decision.admission.FleetShare;
import org.sequoiareach.decision.admission.LaneBlocks;
import org.sequoiareach.decision.admission.ReleaseEstimator;
import org.sequoiareach.decision.admission.ServicePace;
import org.sequoiareach.decision.admission.WaitingCall;
import org.sequoiareach.decision.admission.WaitingQueue;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.TargetUse;
import org.sequoiareach.model.route.WaitingDemand;

/**
 * Keeps the generations that wait at this daemon for room at an engine, and asks the strategy of
 * admission. Not thread-safe.
 */
final class AdmissionHandler {

  /** The shortest interval between retries caused by others, such as reports of many daemons. */
  private static final long RETRY_INTERVAL_MS = 25;

  /** Bounds of the random delay after which a call that finds the queue full may return. */
  private static final long MIN_OVERFLOW_RETURN_MS = 300;

  private static final long MAX_OVERFLOW_RETURN_MS = 900;

  /** The time for which a run is assumed to hold memory until one has ended. */
  private static final long INITIAL_RUN_MS = 3_000;

  /** Places a call anew. */
  @FunctionalInterface
  interface Placer {
    void place(
        long nowMs, ActiveCall call, String why, Optional<DispatchEvent.AttemptFailed> failure);
  }

  private record Held(
      ActiveCall call,
      String why,
      Optional<DispatchEvent.AttemptFailed> failure,
      WaitingCall waiting,
      long sinceMs) {}

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final RunDurationRegistry durations;
  private final AdmissionStrategy strategy;
  private final Placer placer;
  private final CallerPatience patience = new CallerPatience();
  private final Map<String, WaitingQueue> queues = new LinkedHashMap<>();
  private final Map<String, Held> held = new HashMap<>();
  private final Map<String, ReleaseEstimator> releases = new HashMap<>();
  private Optional<Held> retried = Optional.empty();
  private boolean retrying;
  private long nextRetryMs;
  private long admittedCount;
  private long waitedMs;

  AdmissionHandler(
      DispatchContext context,
      ActiveCalls calls,
      RunDurationRegistry durations,
      AdmissionStrategy strategy,
      Placer placer) {
    this.context = context;
    this.calls = calls;
    this.durations = durations;
    this.strategy = strategy;
    this.placer = placer;
  }

  /**
   * Describes a call to the strategy; empty for calls that it does not decide on: plain ones, and
   * streams that their callers have begun to receive.
   */
  Optional<WaitingCall> describe(ActiveCall call) {
    Optional<GenerationDemand> demand = call.profile().generation();
    if (demand.isEmpty() || call.isStarted() || context.engineTraits(call.service()).isEmpty()) {
      return Optional.empty();
    }
    if (retried.isPresent() && retried.get().call() == call) {
      return Optional.of(retried.get().waiting());
    }
    RunDurationEstimator estimator = durations.getEstimator(call.service());
    long decodeMs = estimator.estimateDecodeMs(demand.get());
    long runMs = estimator.estimateMs(demand.get());
    long firstAttemptMs = patience.firstAttemptMs(call);
    return Optional.of(
        new WaitingCall(
            call.callId(),
            call.service(),
            call.organisation().orElse(""),
            call.priority(),
            demand.get().promptTokens(),
            call.expectedMemoryTokens(),
            decodeMs <= PrefillPlacement.SHORT_DECODE_MS,
            call.route().targetLatencyMs(),
            call.profile().arrivedMs(),
            firstAttemptMs + call.route().targetLatencyMs() - (runMs - decodeMs),
            call.deadlineMs() - runMs,
            call.deadlineMs(),
            firstAttemptMs < call.profile().arrivedMs()));
  }

  /** Returns the engines to which the strategy may send a call. */
  Predicate<Candidate> filterFor(String service, Optional<WaitingCall> waiting) {
    if (waiting.isEmpty()) {
      return candidate -> true;
    }
    ServicePace pace = paceOf(service);
    return candidate -> strategy.accepts(waiting.get(), loadOf(candidate), pace);
  }

  AdmissionDecision decide(
      long nowMs, ActiveCall call, Optional<WaitingCall> waiting, CallPlacement.Choice choice) {
    if (waiting.isEmpty()) {
      return decideAtOnce(choice.target().isPresent());
    }
    boolean isRetry = retried.isPresent();
    boolean untried =
        choice.all().stream().anyMatch(candidate -> !call.wasTried(candidate.target().id()));
    if (call.permitReturnMs().isPresent() && choice.target().isEmpty() || !isRetry && !untried) {
      return decideAtOnce(false);
    }
    Optional<WaitingQueue> queue = Optional.ofNullable(queues.get(call.service()));
    boolean overtakes =
        !isRetry && queue.filter(waits -> waits.goesBefore(waiting.get())).isPresent();
    AdmissionRequest request =
        new AdmissionRequest(
            waiting.get(),
            isRetry,
            choice.target().isPresent() && !overtakes,
            choice.all().stream().map(AdmissionHandler::loadOf).toList(),
            queue.map(WaitingQueue::demand).orElse(WaitingDemand.NONE),
            context
                .fleetState()
                .peerTotal()
                .demand()
                .getOrDefault(call.service(), WaitingDemand.NONE),
            paceOf(call.service()),
            findSilentShare(choice.all()));
    return strategy.decide(nowMs, request);
  }

  private static AdmissionDecision decideAtOnce(boolean placeable) {
    return placeable
        ? new AdmissionDecision.Send()
        : new AdmissionDecision.Refuse(OptionalLong.empty(), "");
  }

  /** Returns this daemon's share of the engines if it hears nothing from the other daemons. */
  private Optional<FleetShare> findSilentShare(List<Candidate> candidates) {
    if (context.targetUse().hasPeerReports()) {
      return Optional.empty();
    }
    int peers = context.membership().livePeers().size();
    if (peers == 0) {
      return Optional.empty();
    }
    Map<String, TargetUse> uses = context.targetUse().localUses();
    long ownTokens =
        candidates.stream()
            .map(candidate -> uses.getOrDefault(candidate.target().id(), TargetUse.NONE))
            .mapToLong(TargetUse::memoryTokens)
            .sum();
    return Optional.of(new FleetShare(peers + 1, ownTokens));
  }

  /** Keeps a call until there is room for it. */
  void hold(
      long nowMs,
      ActiveCall call,
      WaitingCall waiting,
      AdmissionDecision.Wait wait,
      String why,
      Optional<DispatchEvent.AttemptFailed> failure) {
    WaitingQueue queue = queues.computeIfAbsent(call.service(), name -> new WaitingQueue());
    boolean isNew = retried.isEmpty();
    if (isNew) {
      calls.logDecision(
          "wait",
          call,
          "",
          why
              + " priority="
              + waiting.priority()
              + " waiting="
              + queue.size()
              + " expected="
              + wait.expectedMs()
              + "ms until="
              + (wait.untilMs() - nowMs)
              + "ms");
    }
    long sinceMs = retried.map(Held::sinceMs).orElse(nowMs);
    held.put(call.callId(), new Held(call, why, failure, waiting, sinceMs));
    queue.add(waiting).ifPresent(evicted -> refuseEvicted(nowMs, evicted));
    if (isNew && !retrying) {
      publishDemand();
      retry(nowMs, true);
    }
  }

  private void refuseEvicted(long nowMs, WaitingCall evicted) {
    Held removed = held.remove(evicted.callId());
    calls.refuse(
        removed.call(),
        Reason.NO_CAPACITY,
        "too many calls wait at the daemon",
        context.randomBetween(MIN_OVERFLOW_RETURN_MS, MAX_OVERFLOW_RETURN_MS),
        "priority=" + evicted.priority() + " waited=" + (nowMs - removed.sinceMs()) + "ms");
  }

  /**
   * Places the waiting calls for which there is room, in the order of their queue.
   *
   * @param now whether room was released at this daemon or time has passed; otherwise the retry may
   *     be left to a later event
   */
  void retry(long nowMs, boolean now) {
    if (held.isEmpty() || retrying || !now && nowMs < nextRetryMs) {
      return;
    }
    nextRetryMs = nowMs + RETRY_INTERVAL_MS;
    retrying = true;
    queues.values().forEach(queue -> retry(nowMs, queue));
    retrying = false;
    publishDemand();
  }

  private void retry(long nowMs, WaitingQueue queue) {
    LaneBlocks blocks = new LaneBlocks();
    for (WaitingCall waiting : queue.inOrder(nowMs)) {
      Held entry = held.get(waiting.callId());
      if (calls.find(waiting.callId()).filter(call -> call == entry.call()).isEmpty()) {
        remove(queue, waiting);
      } else if (context.drain().isPresent()
          || nowMs >= waiting.latestStartMs()
          || !blocks.isHeld(waiting)) {
        retry(nowMs, queue, entry, blocks);
      }
    }
  }

  private void retry(long nowMs, WaitingQueue queue, Held entry, LaneBlocks blocks) {
    remove(queue, entry.waiting());
    retried = Optional.of(entry);
    placer.place(nowMs, entry.call(), entry.why(), entry.failure());
    retried = Optional.empty();
    if (held.containsKey(entry.waiting().callId())) {
      blocks.recordBlocked(nowMs, entry.waiting());
    } else if (entry.call().target().isPresent()) {
      queue.recordServed(entry.waiting().tenant());
      admittedCount++;
      waitedMs += nowMs - entry.sinceMs();
      calls.logDecision(
          "admit",
          entry.call(),
          ActiveCalls.targetIdOf(entry.call()),
          "waited=" + (nowMs - entry.sinceMs()) + "ms waiting=" + queue.size());
    }
  }

  private void remove(WaitingQueue queue, WaitingCall waiting) {
    queue.remove(waiting.callId());
    held.remove(waiting.callId());
  }

  private void publishDemand() {
    Map<String, WaitingDemand> demands = new HashMap<>();
    queues.forEach(
        (service, queue) -> {
          if (!queue.isEmpty()) {
            demands.put(service, queue.demand());
          }
        });
    context.fleetState().setDemand(demands);
  }

  /** Records a call that has arrived, for the time that callers of its route give. */
  void recordArrival(ActiveCall call) {
    patience.record(call);
  }

  /** Records a run that has ended, for the rate at which room is released. */
  void recordRun(long nowMs, ActiveCall call) {
    releases
        .computeIfAbsent(call.service(), name -> new ReleaseEstimator())
        .recordRun(call.expectedMemoryTokens(), nowMs - call.lastSentAtMs());
  }

  private ServicePace paceOf(String service) {
    RunDurationEstimator estimator = durations.getEstimator(service);
    double runMs =
        releases.computeIfAbsent(service, name -> new ReleaseEstimator()).runMs(INITIAL_RUN_MS);
    return new ServicePace(estimator.prefillTokensPerMs(), runMs);
  }

  private static EngineLoad loadOf(Candidate candidate) {
    return new EngineLoad(
        candidate.use(),
        candidate.target().slots(),
        candidate.engine().map(EngineTraits::memoryTokens).orElse(Long.MAX_VALUE));
  }

  int waitingCount() {
    return held.size();
  }

  long admittedCount() {
    return admittedCount;
  }

  long waitedMs() {
    return waitedMs;
  }
}
