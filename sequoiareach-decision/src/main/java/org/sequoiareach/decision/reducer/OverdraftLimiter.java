package org.sequoiareach.decision.reducer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sequoiareach.decision.budget.TokenAmount;
import org.sequoiareach.model.request.RequestSpec;

/**
 * Limits the tokens that may be used beyond the leased portions while a ledger is unavailable.
 *
 * <p>An outage of the key-value service must not stop generations. During an outage each daemon may
 * use up to one twentieth of an organisation's daily plan beyond its portions. The overdraft is
 * recorded as debt, which the next portion covers. It stays unaccounted for only if the daemon
 * crashes before the ledger is available again.
 */
final class OverdraftLimiter {

  private static final int PLAN_DIVISOR = 20;

  private final Set<String> unavailableLedgers = new HashSet<>();
  private final Map<String, TokenAmount> overdrafts = new HashMap<>();
  private final Map<String, TokenAmount> reservations = new HashMap<>();

  void ledgerUnavailable(String organisation) {
    unavailableLedgers.add(organisation);
  }

  /** Ends an outage and resets the limit; the account covers its debt from the next portions. */
  void ledgerAvailable(String organisation) {
    unavailableLedgers.remove(organisation);
    overdrafts.remove(organisation);
  }

  /**
   * Reserves the maximum that a request may use. Returns false if the ledger is available or the
   * limit would be exceeded.
   */
  boolean tryReserve(RequestSpec spec, TokenAmount maximum, TokenAmount plan) {
    String organisation = spec.organisation();
    TokenAmount after = overdrafts.getOrDefault(organisation, TokenAmount.NONE).plus(maximum);
    if (!unavailableLedgers.contains(organisation) || !plan.dividedBy(PLAN_DIVISOR).covers(after)) {
      return false;
    }
    overdrafts.put(organisation, after);
    reservations.put(spec.requestId(), maximum);
    return true;
  }

  /** Replaces the overdraft reserved for a request by the tokens used. */
  void settle(RequestSpec spec, TokenAmount used) {
    TokenAmount maximum = reservations.remove(spec.requestId());
    if (maximum != null) {
      overdrafts.computeIfPresent(
          spec.organisation(), (id, amount) -> amount.minus(maximum).plus(used));
    }
  }
}
