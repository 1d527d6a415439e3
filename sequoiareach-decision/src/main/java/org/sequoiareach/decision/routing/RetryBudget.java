package org.sequoiareach.decision.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Limits the retries that this daemon sends to each target in proportion to the successes of that
 * target.
 *
 * <p>Each success earns a tenth of a retry, and a retry spends the balance of the target that it is
 * sent to. The retries that follow the failure of one target therefore cannot become a large part
 * of the load of its siblings. Each target starts with a small balance, and the balance is capped.
 *
 * <p>The budget does not decide whether a request may be retried at all: an attempt that may have
 * run is never retried.
 *
 * <p>Not thread-safe: confined to the control thread.
 */
public final class RetryBudget {

  private static final double RETRIES_PER_SUCCESS = 0.1;
  private static final double INITIAL_BALANCE = 3;
  private static final double MAX_BALANCE = 10;
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Map<String, Double> balances = new HashMap<>();

  /**
   * Records a successful attempt.
   *
   * @param targetId the target
   */
  public void recordSuccess(String targetId) {
    double before = balances.getOrDefault(targetId, INITIAL_BALANCE);
    balances.put(targetId, Math.min(MAX_BALANCE, before + RETRIES_PER_SUCCESS));
  }

  /**
   * Returns whether the balance covers a retry on a target.
   *
   * @param targetId the target
   * @return whether a retry is allowed
   */
  public boolean allows(String targetId) {
    return balances.getOrDefault(targetId, INITIAL_BALANCE) >= 1 - ROUNDING_TOLERANCE;
  }

  /**
   * Spends one retry if the balance covers it.
   *
   * @param targetId the target that the retry is sent to
   * @return whether the retry is allowed
   */
  public boolean trySpend(String targetId) {
    if (!allows(targetId)) {
      return false;
    }
    balances.merge(targetId, INITIAL_BALANCE - 1, (before, initial) -> before - 1);
    return true;
  }

  /**
   * Discards the balances of targets that are not retained.
   *
   * @param listed selects the targets to retain
   */
  public void retain(Predicate<String> listed) {
    balances.keySet().removeIf(listed.negate());
  }
}
