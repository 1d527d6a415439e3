package org.sequoiareach.decision.admission;

/** Estimates the room at the engines of a service and when more of it is released. */
final class RoomEstimator {

  /** The ratio of expected lengths to memory that placement allows for long runs. */
  private static final double FILL_RATIO = 1.2;

  /** The same for short runs, which end before the others reach their full length. */
  private static final double SHORT_FILL_RATIO = 1.5;

  private final AdmissionStrategy strategy;

  RoomEstimator(AdmissionStrategy strategy) {
    this.strategy = strategy;
  }

  /** Returns how many calls like this one could be sent now. */
  long callsThatFit(AdmissionRequest request) {
    return request.engines().stream().mapToLong(engine -> fitting(request, engine)).sum();
  }

  private long fitting(AdmissionRequest request, EngineLoad engine) {
    WaitingCall call = request.call();
    if (!strategy.accepts(call, engine, request.pace())) {
      return 0;
    }
    long bySlots = engine.slots() - engine.use().calls();
    long byMemory = Math.round(freeTokens(call, engine)) / Math.max(1, call.memoryTokens());
    double unread =
        LateBindingAdmission.prefillBoundTokens(call, request.pace())
            - engine.use().waitingPromptTokens();
    long byPrefill = Math.max(1, (long) (unread / Math.max(1, call.promptTokens())));
    return Math.max(0, Math.min(bySlots, Math.min(byMemory, byPrefill)));
  }

  /** Returns the memory of all engines that calls like this one may fill, in tokens. */
  double capacityTokens(AdmissionRequest request) {
    double ratio = fillRatio(request.call());
    return request.engines().stream().mapToDouble(engine -> ratio * engine.memoryTokens()).sum();
  }

  /**
   * Estimates when the call can be sent if all of at least its urgency go first: the longest of the
   * times in which memory, slots and prefill become free for them.
   */
  long expectedWaitMs(AdmissionRequest request) {
    if (request.engines().isEmpty()) {
      return Math.round(request.pace().runMs());
    }
    WaitingCall call = request.call();
    Backlog own = Backlog.of(request.own(), priority -> priority <= call.priority());
    Backlog peers = Backlog.of(request.peers(), priority -> priority <= call.priority());
    double tokensAhead = own.memoryTokens() + peers.memoryTokens();
    double callsAhead = own.calls() + peers.calls();
    double free = 0;
    double used = 0;
    double unread = 0;
    double freeSlots = 0;
    double calls = 0;
    for (EngineLoad engine : request.engines()) {
      free += freeTokens(call, engine);
      used += engine.use().memoryTokens();
      unread += engine.use().waitingPromptTokens();
      freeSlots += Math.max(0, engine.slots() - engine.use().calls());
      calls += engine.use().calls();
    }
    double runMs = request.pace().runMs();
    double memoryMs =
        Math.max(0, tokensAhead + call.memoryTokens() - free) * runMs / Math.max(1, used);
    double slotsMs = Math.max(0, callsAhead + 1 - freeSlots) * runMs / Math.max(1, calls);
    int engines = request.engines().size();
    double bound = engines * LateBindingAdmission.prefillBoundTokens(call, request.pace());
    double prefillMs =
        Math.max(0, unread + tokensAhead + call.promptTokens() - bound)
            / (engines * request.pace().prefillTokensPerMs());
    return Math.round(Math.max(memoryMs, Math.max(slotsMs, prefillMs)));
  }

  /** Describes the inputs of the estimates, for the decision log. */
  String describe(AdmissionRequest request) {
    Backlog own = Backlog.of(request.own(), priority -> priority <= request.call().priority());
    Backlog peers = Backlog.of(request.peers(), priority -> priority <= request.call().priority());
    return "aheadHere="
        + own.calls()
        + " aheadElsewhere="
        + peers.calls()
        + " aheadTokens="
        + (own.memoryTokens() + peers.memoryTokens())
        + " run="
        + Math.round(request.pace().runMs())
        + "ms engines="
        + request.engines().size();
  }

  private static double freeTokens(WaitingCall call, EngineLoad engine) {
    return Math.max(0, fillRatio(call) * engine.memoryTokens() - engine.use().memoryTokens());
  }

  private static double fillRatio(WaitingCall call) {
    return call.shortRun() ? SHORT_FILL_RATIO : FILL_RATIO;
  }
}
