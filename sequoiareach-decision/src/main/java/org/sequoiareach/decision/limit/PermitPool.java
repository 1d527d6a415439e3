package org.sequoiareach.decision.limit;

import java.util.HashMap;
import java.util.Map;
import org.sequoiareach.model.Check;

/**
 * Issues permits to send requests to one target at the sum of the shares that are lent to this
 * daemon.
 *
 * <p>Permits are evenly spaced and promised ahead up to the latest start that the asking daemon
 * accepts. A denied caller is told to return when the permits already promised, and the earlier
 * callers that were sent away, have had their turn. Not thread-safe: confined to the control
 * thread.
 */
public final class PermitPool {

  /** How long a share is lent unless it is lent again. */
  public static final long LEASE_MS = 1_000;

  /**
   * The lowest rate of permits, in requests per second. A target that accepts nothing is still
   * asked now and then, since only its answers tell that its limit has ended.
   */
  static final double MIN_PER_SECOND = 0.25;

  /** The maximum delay until a denied caller returns. */
  static final long MAX_RETURN_MS = 15_000;

  private static final double MS_PER_SECOND = 1_000;

  private final Map<String, Long> lentUntilMs = new HashMap<>();
  private int daemons = 1;
  private long lastStartMs;
  private long lastReturnMs;

  /**
   * Creates a pool without shares. Its first permit starts a full interval after its creation.
   *
   * @param nowMs the current time
   */
  public PermitPool(long nowMs) {
    this.lastStartMs = nowMs;
  }

  /**
   * Adds the share of a daemon, or lends it for longer.
   *
   * @param nowMs the current time
   * @param daemonId the daemon that lends its share
   * @param knownDaemons the highest number of daemons that it has seen
   */
  public void lend(long nowMs, String daemonId, int knownDaemons) {
    Check.hasText(daemonId, "daemonId");
    lentUntilMs.put(daemonId, nowMs + LEASE_MS);
    daemons = Math.max(daemons, knownDaemons);
  }

  /**
   * Removes the share of a daemon before it expires.
   *
   * @param daemonId the daemon
   */
  public void release(String daemonId) {
    lentUntilMs.remove(daemonId);
  }

  /**
   * Returns the rate at which this pool issues permits.
   *
   * @param nowMs the current time
   * @param limitPerSecond the rate that the target accepts from all daemons, per second
   * @return the permits per second; 0 without any share
   */
  public double permitsPerSecond(long nowMs, double limitPerSecond) {
    lentUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    double share = Math.min(1, (double) lentUntilMs.size() / daemons);
    return Math.max(MIN_PER_SECOND, limitPerSecond) * share;
  }

  /**
   * Reserves the next permit if it starts early enough.
   *
   * @param nowMs the current time
   * @param latestStartMs the latest useful start
   * @param limitPerSecond the rate that the target accepts from all daemons, per second
   * @return the decision
   */
  public PermitDecision reserve(long nowMs, long latestStartMs, double limitPerSecond) {
    return reserve(nowMs, latestStartMs, new StatedRateStrategy(limitPerSecond));
  }

  /**
   * Reserves the next permit if it starts early enough.
   *
   * @param nowMs the current time
   * @param latestStartMs the latest useful start
   * @param rate the rate of permits
   * @return the decision
   */
  public PermitDecision reserve(long nowMs, long latestStartMs, PermitRateStrategy rate) {
    double perSecond = rate.permitsPerSecond(nowMs, this);
    if (perSecond <= 0) {
      return new PermitDecision(false, nowMs + LEASE_MS);
    }
    long intervalMs = Math.max(1, (long) Math.ceil(MS_PER_SECOND / perSecond));
    long startMs = Math.max(nowMs, lastStartMs + intervalMs);
    if (startMs <= latestStartMs) {
      lastStartMs = startMs;
      return new PermitDecision(true, startMs);
    }
    long returnMs = Math.max(startMs, lastReturnMs + intervalMs);
    lastReturnMs = Math.min(returnMs, nowMs + MAX_RETURN_MS);
    return new PermitDecision(false, lastReturnMs);
  }

  /**
   * Records a request that was sent without a permit, so that later permits make up for it.
   *
   * @param nowMs the current time
   * @param limitPerSecond the rate that the target accepts from all daemons, per second
   */
  public void spend(long nowMs, double limitPerSecond) {
    spend(nowMs, new StatedRateStrategy(limitPerSecond));
  }

  /**
   * Records a request that was sent without a permit, so that later permits make up for it.
   *
   * @param nowMs the current time
   * @param rate the rate of permits
   */
  public void spend(long nowMs, PermitRateStrategy rate) {
    double perSecond = rate.permitsPerSecond(nowMs, this);
    if (perSecond > 0) {
      long intervalMs = (long) Math.ceil(MS_PER_SECOND / perSecond);
      lastStartMs = Math.max(nowMs, lastStartMs + intervalMs);
    }
  }
}
