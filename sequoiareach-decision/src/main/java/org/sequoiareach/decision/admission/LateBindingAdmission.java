package org.sequoiareach.decision.admission;

import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

/**
 * Sends a call only to an engine that begins it soon, and lets the others wait at the daemon.
 *
 * <p>Handles bursts beyond the capacity of the engines while engines leave at short notice: a call
 * that has not begun when its engine leaves is lost. Room goes to the more urgent calls of the
 * whole fleet first, and is shared among daemons in proportion to what waits there.
 */
public final class LateBindingAdmission implements AdmissionStrategy {

  /**
   * The part of the target latency that the prefill ahead and the call's own may take on an engine;
   * the rest covers estimation errors and slow spells.
   */
  private static final double FIRST_TOKEN_SHARE = 0.75;

  /**
   * Engines leave as soon as 1,500 ms after a notice, and a run that has begun can be migrated. The
   * rest covers the way of the notice and slow spells. In the bursts of BurstTest (seeds 1 to 8)
   * 1,500 ms lost 2 of 1,480 calls with engines and had 523 of 896 checks on time; 1,000 ms lost
   * none and had 640 on time.
   */
  private static final long START_BOUND_MS = 1_000;

  /** The part of the time left for which callers honour a return time. */
  private static final double RETURN_TIME_SHARE = 1.0 / 3;

  private final RoomEstimator room = new RoomEstimator(this);
  private final DoubleSupplier random;
  private final ShareQuota quota;

  /**
   * Creates a strategy without history.
   *
   * @param random the source of random numbers, from 0 inclusive to 1 exclusive
   */
  public LateBindingAdmission(DoubleSupplier random) {
    this.random = random;
    this.quota = new ShareQuota(random);
  }

  @Override
  public boolean accepts(WaitingCall call, EngineLoad engine, ServicePace pace) {
    if (engine.use().calls() >= engine.slots()) {
      return false;
    }
    long waiting = engine.use().waitingPromptTokens();
    return waiting == 0 || waiting + call.promptTokens() <= prefillBoundTokens(call, pace);
  }

  /** Returns the prompt tokens that may be unread at an engine, with the call's own. */
  static double prefillBoundTokens(WaitingCall call, ServicePace pace) {
    double boundMs = Math.min(FIRST_TOKEN_SHARE * call.targetLatencyMs(), START_BOUND_MS);
    return boundMs * pace.prefillTokensPerMs();
  }

  @Override
  public AdmissionDecision decide(long nowMs, AdmissionRequest request) {
    if (request.placeable() && mayTake(nowMs, request)) {
      return new AdmissionDecision.Send();
    }
    WaitingCall call = request.call();
    if (request.waiting() && nowMs < call.latestStartMs()) {
      return new AdmissionDecision.Wait(call.latestStartMs(), 0);
    }
    long expectedMs = room.expectedWaitMs(request);
    // A prompt that takes longer than the target alone gains nothing by a refusal either.
    boolean mayBeLate = call.returned() || call.onTimeStartMs() <= call.arrivedMs();
    long limitMs = mayBeLate ? call.latestStartMs() : call.onTimeStartMs();
    if (nowMs < call.latestStartMs() && nowMs + expectedMs <= limitMs) {
      return new AdmissionDecision.Wait(call.latestStartMs(), expectedMs);
    }
    String inputs =
        "expected="
            + expectedMs
            + "ms startIn="
            + (limitMs - nowMs)
            + "ms "
            + room.describe(request);
    return new AdmissionDecision.Refuse(
        OptionalLong.of(drawReturnMs(nowMs, call, expectedMs)), inputs);
  }

  /** Returns whether what the call leaves covers what others have a better claim to. */
  private boolean mayTake(long nowMs, AdmissionRequest request) {
    if (exceedsOwnShare(request)) {
      return false;
    }
    WaitingCall call = request.call();
    Backlog ownUrgent = Backlog.of(request.own(), priority -> priority < call.priority());
    Backlog peersUrgent = Backlog.of(request.peers(), priority -> priority < call.priority());
    Backlog peersEqual = Backlog.of(request.peers(), priority -> priority == call.priority());
    if (ownUrgent.calls() + peersUrgent.calls() + peersEqual.calls() == 0) {
      return true;
    }
    long urgentTokens = ownUrgent.memoryTokens() + peersUrgent.memoryTokens();
    long reserved =
        Math.max(
            ownUrgent.calls() + peersUrgent.calls(),
            -Math.floorDiv(-urgentTokens, Math.max(1, call.memoryTokens())));
    // An engine was found, so there is room for this call even where the estimate is lower.
    long left = Math.max(1, room.callsThatFit(request)) - reserved;
    if (left <= 0) {
      return false;
    }
    long here = 1 + Backlog.of(request.own(), priority -> priority == call.priority()).calls();
    long everywhere = here + peersEqual.calls();
    return left >= everywhere || quota.tryTake(nowMs, call, (double) left * here / everywhere);
  }

  private boolean exceedsOwnShare(AdmissionRequest request) {
    if (request.silent().isEmpty()) {
      return false;
    }
    FleetShare share = request.silent().get();
    double ownLimit = room.capacityTokens(request) / share.daemons();
    return share.ownTokens() > 0 && share.ownTokens() + request.call().memoryTokens() > ownLimit;
  }

  /**
   * Draws a delay from the period in which room is expected: as long as the expected wait, after
   * it. A caller returns at once instead if told a later time than it accepts, so where the wait is
   * longer, callers are spread over the second half of the time that they accept.
   */
  private long drawReturnMs(long nowMs, WaitingCall call, long expectedMs) {
    double capMs = Math.max(0, (call.deadlineMs() - nowMs) * RETURN_TIME_SHARE);
    double fromMs = Math.min(expectedMs, capMs / 2);
    double toMs = Math.min(Math.max(2.0 * expectedMs, ShareQuota.ROUND_MS), capMs);
    return Math.round(fromMs + random.getAsDouble() * Math.max(0, toMs - fromMs));
  }
}
