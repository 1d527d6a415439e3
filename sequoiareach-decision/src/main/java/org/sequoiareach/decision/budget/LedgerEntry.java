package org.sequoiareach.decision.budget;

/**
 * Entry that changes the ledger of an organisation's day. Applying it is idempotent.
 *
 * @param holder the id of the daemon's run, unique across all daemons and restarts
 * @param sequence the sequence number of the entry within that run, from 1
 * @param kind whether tokens are taken or given back
 * @param amount the tokens requested or given back
 */
public record LedgerEntry(String holder, long sequence, Kind kind, TokenAmount amount) {

  /** Kind of ledger entry. */
  public enum Kind {
    /** Leases a portion of the plan; less than the requested amount may be granted. */
    TAKE,
    /** Returns unused tokens to the plan; the holder no longer uses them. */
    GIVE_BACK
  }
}
