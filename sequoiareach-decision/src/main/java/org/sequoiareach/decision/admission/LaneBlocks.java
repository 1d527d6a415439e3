package org.sequoiareach.decision.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks, within one pass over the waiting calls, which of them are held by one that found no room.
 * Short and long runs of each urgency form lanes of their own, so that a short run is not held by a
 * long one. Not thread-safe.
 */
public final class LaneBlocks {

  /**
   * A call this much smaller than one without room may pass it: it fits into gaps that are of no
   * use to the larger one.
   */
  private static final double PASSING_SIZE_RATIO = 0.75;

  /** The part of its on-time wait after which a call is no longer passed. */
  private static final double PASSED_WAIT_SHARE = 0.5;

  private record Lane(int priority, boolean shortRun) {}

  private final Map<Lane, Double> maxPassingTokens = new HashMap<>();

  /**
   * Returns whether a call is held by one ahead of it.
   *
   * @param call the call
   * @return true if it is not to be tried in this pass
   */
  public boolean isHeld(WaitingCall call) {
    Double limit = maxPassingTokens.get(laneOf(call));
    return limit != null && call.memoryTokens() > limit;
  }

  /**
   * Records that a call found no room.
   *
   * @param nowMs the current time
   * @param call the call
   */
  public void recordBlocked(long nowMs, WaitingCall call) {
    double passableMs = PASSED_WAIT_SHARE * (call.onTimeStartMs() - call.arrivedMs());
    boolean passable = nowMs - call.arrivedMs() < passableMs || call.isLate(nowMs);
    double limit = passable ? PASSING_SIZE_RATIO * call.memoryTokens() : -1;
    maxPassingTokens.merge(laneOf(call), limit, Math::min);
  }

  private static Lane laneOf(WaitingCall call) {
    return new Lane(call.priority(), call.shortRun());
  }
}
