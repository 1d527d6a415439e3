package org.sequoiareach.decision.limit;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Tracks to which daemon this daemon has lent its share of the rate of one target.
 *
 * <p>The share is lent to one daemon at a time: to another one only after the lease, and the time
 * that its message may have spent in transit, have passed. Not thread-safe: confined to the control
 * thread.
 */
public final class ShareLease {

  /** The interval of renewals, so that one of them may be lost. */
  static final long RENEWAL_MS = 400;

  /** The time that the message of a renewal may spend in transit. */
  static final long TRANSIT_MS = 300;

  private Optional<String> holder = Optional.empty();
  private long lentUntilMs = Long.MIN_VALUE;
  private long nextRenewalMs = Long.MIN_VALUE;

  /**
   * Lends or renews the share if that is due and allowed.
   *
   * @param nowMs the current time
   * @param daemonId the daemon that is to hold the share
   * @return whether the daemon must be told that it holds the share now
   */
  public boolean tryLend(long nowMs, String daemonId) {
    Check.hasText(daemonId, "daemonId");
    boolean isHolder = holder.equals(Optional.of(daemonId));
    if (isHolder ? nowMs < nextRenewalMs : nowMs < lentUntilMs) {
      return false;
    }
    holder = Optional.of(daemonId);
    lentUntilMs = nowMs + PermitPool.LEASE_MS + TRANSIT_MS;
    nextRenewalMs = nowMs + RENEWAL_MS;
    return true;
  }

  /**
   * Returns the daemon that the share was last lent to.
   *
   * @return the daemon; empty before the share was lent
   */
  public Optional<String> holder() {
    return holder;
  }

  /** Takes the share back at once, which is allowed only if its holder no longer counts it. */
  public void takeBack() {
    holder = Optional.empty();
    lentUntilMs = Long.MIN_VALUE;
  }
}
