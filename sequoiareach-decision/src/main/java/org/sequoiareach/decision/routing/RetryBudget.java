package org.sequoiareach.decision.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Bounds the retries that this daemon sends to each target by what the target has carried out.
 *
 * <p>Each success earns a tenth of a retry, and a retry sent to a target is paid from what that
 * target has earned. So retries after the death of one target cannot become a large part of the
 * load on its siblings. A target starts with a small reserve, and saves up no more than a bound.
 *
 * <p>The budget does not say whether a retry is allowed at all: what may have run is not retried.
 * Not thread-safe: it belongs to the control thread.
 */
public final class RetryBudget {

  private static final double EARNED_BY_SUCCESS = 0.1;
  private static final double RESERVE = 3;
  private static final double MOST_SAVED = 10;
  private static final double ROUNDING = 1e-9;

  private final Map<String, Double> saved = new HashMap<>();

  /**
   * Records an attempt that the target has carried out.
   *
   * @param targetId the target
   */
  public void succeeded(String targetId) {
    double before = saved.getOrDefault(targetId, RESERVE);
    saved.put(targetId, Math.min(MOST_SAVED, before + EARNED_BY_SUCCESS));
  }

  /**
   * Tells whether a retry may be sent to a target.
   *
   * @param targetId the target
   * @return whether the budget allows it
   */
  public boolean allows(String targetId) {
    return saved.getOrDefault(targetId, RESERVE) >= 1 - ROUNDING;
  }

  /**
   * Pays for a retry, where the budget allows it.
   *
   * @param targetId the target that the retry is to be sent to
   * @return whether it may be sent
   */
  public boolean trySpend(String targetId) {
    if (!allows(targetId)) {
      return false;
    }
    saved.merge(targetId, RESERVE - 1, (before, initial) -> before - 1);
    return true;
  }

  /**
   * Forgets targets.
   *
   * @param listed tells which targets to keep
   */
  public void retain(Predicate<String> listed) {
    saved.keySet().removeIf(listed.negate());
  }
}
