package org.sequoiareach.decision.hedge;

import java.util.Optional;
import java.util.OptionalLong;

/** Holds what hedging knows of one service. Not thread-safe. */
public final class ServiceHedging {

  /**
   * The share of free slots below which extra work delays other requests more than it helps. At two
   * thirds of the slots in use, three targets of six slots still answer without queueing.
   */
  private static final double MIN_FREE_SHARE = 1.0 / 3;

  private final LatencyTracker answers = new LatencyTracker();
  private final HedgeBudget budget = new HedgeBudget();
  private final HedgeYield yield = new HedgeYield();

  /**
   * Records a request for the service.
   *
   * @param nowMs the current time
   */
  public void recordRequest(long nowMs) {
    budget.recordRequest(nowMs);
  }

  /**
   * Records an answer, or how long a request waited for one that was given up.
   *
   * @param nowMs the current time
   * @param answerMs the time since the request was sent, in milliseconds
   */
  public void recordAnswer(long nowMs, long answerMs) {
    answers.record(nowMs, answerMs);
  }

  /**
   * Returns the delay after which a second target is asked.
   *
   * @param nowMs the current time
   * @param strategy the strategy
   * @return the delay in milliseconds; empty if no second target is asked
   */
  public OptionalLong delayMs(long nowMs, HedgeStrategy strategy) {
    return strategy.delayMs(nowMs, answers);
  }

  /**
   * Finds what keeps the service from a hedged attempt now.
   *
   * @param nowMs the current time
   * @param hedgeRatio the ratio of hedged attempts to requests
   * @param windowMs the window over which both are counted, in milliseconds
   * @param freeSlots the free slots of the targets that accept requests
   * @param slots all slots of these targets
   * @return the reason; empty if an attempt may be sent
   */
  public Optional<WithheldReason> findObstacle(
      long nowMs, double hedgeRatio, long windowMs, int freeSlots, int slots) {
    if (freeSlots < MIN_FREE_SHARE * slots) {
      return Optional.of(WithheldReason.BUSY);
    }
    if (!yield.isWorthwhile(nowMs)) {
      return Optional.of(WithheldReason.RARELY_WINS);
    }
    return budget.isAvailable(nowMs, hedgeRatio, windowMs)
        ? Optional.empty()
        : Optional.of(WithheldReason.HEDGE_BUDGET);
  }

  /**
   * Records that a hedged attempt was sent.
   *
   * @param nowMs the current time
   */
  public void recordSent(long nowMs) {
    budget.recordHedge(nowMs);
    yield.recordSent(nowMs);
  }

  /**
   * Records the outcome of a hedged attempt.
   *
   * @param won whether its answer was delivered
   */
  public void recordOutcome(boolean won) {
    yield.recordOutcome(won);
  }
}
