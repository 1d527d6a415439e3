package org.sequoiareach.decision.pressure;

import java.util.List;
import java.util.OptionalInt;
import java.util.function.ToDoubleFunction;

/**
 * Refuses those who hold most and progress least.
 *
 * <p>Handles many clients that each hold as much as one legal request may, stop short of its end
 * and stay connected. A request that runs is never chosen, as its refusal could not promise that it
 * has not run. A client that holds less than half of what the requesting one needs is not chosen
 * either, so that large requests do not displace small ones.
 */
public final class StalledFirstStrategy implements PressureStrategy {

  /**
   * Bytes that arrive within this time count as progress; several round trips and a lost packet.
   */
  static final long PROGRESS_MS = 500;

  /** A request a little larger than the stalled ones is not refused for that. */
  private static final long MAX_REQUEST_RATIO = 2;

  /** A client without a request gives way before one that sends, up to this much longer a pause. */
  private static final double IDLE_WEIGHT = 4;

  @Override
  public OptionalInt chooseForMemory(List<Holding> holdings, long requestedBytes, long nowMs) {
    return chooseHighest(
        holdings,
        holding ->
            holding.stage() == Holding.Stage.SENDING
                    && MAX_REQUEST_RATIO * holding.heldBytes() >= requestedBytes
                    && stalledMs(holding, nowMs) >= PROGRESS_MS
                ? (double) holding.heldBytes() * stalledMs(holding, nowMs)
                : 0);
  }

  @Override
  public OptionalInt chooseForConnection(List<Holding> holdings, long nowMs) {
    return chooseHighest(
        holdings,
        holding ->
            switch (holding.stage()) {
              case IDLE -> 1 + IDLE_WEIGHT * stalledMs(holding, nowMs);
              case SENDING -> stalledMs(holding, nowMs);
              default -> 0;
            });
  }

  private static long stalledMs(Holding holding, long nowMs) {
    return Math.max(0, nowMs - holding.progressMs());
  }

  /** Returns the index with the highest weight; empty if no weight is positive. */
  private static OptionalInt chooseHighest(
      List<Holding> holdings, ToDoubleFunction<Holding> weight) {
    OptionalInt chosen = OptionalInt.empty();
    double highest = 0;
    for (int i = 0; i < holdings.size(); i++) {
      double current = weight.applyAsDouble(holdings.get(i));
      if (current > highest) {
        highest = current;
        chosen = OptionalInt.of(i);
      }
    }
    return chosen;
  }
}
