package org.sequoiareach.decision.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.sequoiareach.model.Check;

/**
 * Registry of the targets that asked this daemon to send them nothing until a time. It outlasts a
 * restart of the target. Not thread-safe: confined to the control thread.
 */
public final class BackoffRegistry {

  /** The requests that may be sent to a target in spite of its backoff, for runs it holds. */
  static final int MAX_EXCEPTIONS = 2;

  private final Map<String, Backoff> backoffs = new HashMap<>();

  private record Backoff(long untilMs, int exceptions) {}

  /**
   * Records a backoff. It extends one that is in force, and never shortens it.
   *
   * @param nowMs the current time
   * @param targetId the identifier of the target
   * @param untilMs the time until which nothing is to be sent, in milliseconds
   * @return true if the target is to be left alone longer than before
   */
  public boolean record(long nowMs, String targetId, long untilMs) {
    Check.hasText(targetId, "targetId");
    if (untilMs <= untilMs(nowMs, targetId)) {
      return false;
    }
    int exceptions = isInForce(nowMs, targetId) ? backoffs.get(targetId).exceptions : 0;
    backoffs.put(targetId, new Backoff(untilMs, exceptions));
    return true;
  }

  /**
   * Returns whether nothing is to be sent to a target.
   *
   * @param nowMs the current time
   * @param targetId the identifier of the target
   * @return true if a backoff is in force
   */
  public boolean isInForce(long nowMs, String targetId) {
    return untilMs(nowMs, targetId) > nowMs;
  }

  /**
   * Returns when a target accepts requests.
   *
   * @param nowMs the current time
   * @param targetId the identifier of the target
   * @return the end of its backoff, in milliseconds; the current time if there is none
   */
  public long untilMs(long nowMs, String targetId) {
    Backoff known = backoffs.get(targetId);
    return known == null ? nowMs : Math.max(nowMs, known.untilMs);
  }

  /**
   * Tries to acquire the permission for a request that only this target can serve.
   *
   * @param nowMs the current time
   * @param targetId the identifier of the target
   * @return true if no backoff is in force or one of its exceptions was left
   */
  public boolean tryAcquire(long nowMs, String targetId) {
    if (!isInForce(nowMs, targetId)) {
      return true;
    }
    Backoff known = backoffs.get(targetId);
    if (known.exceptions >= MAX_EXCEPTIONS) {
      return false;
    }
    backoffs.put(targetId, new Backoff(known.untilMs, known.exceptions + 1));
    return true;
  }

  /**
   * Forgets the backoffs that have ended, and those of unknown targets.
   *
   * @param nowMs the current time
   * @param known whether the target with an identifier is known
   */
  public void retain(long nowMs, Predicate<String> known) {
    backoffs
        .entrySet()
        .removeIf(entry -> entry.getValue().untilMs <= nowMs || !known.test(entry.getKey()));
  }
}
