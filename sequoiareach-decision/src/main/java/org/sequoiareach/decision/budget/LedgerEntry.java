package org.sequoiareach.decision.budget;

/**
 * Asks for a change of the ledger of an organisation's day. Applying it twice is the same as once.
 *
 * @param holder the run of the daemon that asks, unique over all daemons and their restarts
 * @param sequence the number of the change within that run, from 1
 * @param kind whether a portion is taken or given back
 * @param amount the amount asked for, or given back
 */
public record LedgerEntry(String holder, long sequence, Kind kind, TokenAmount amount) {

  /** Names the kinds of change. */
  public enum Kind {
    /** A portion is taken from the plan; less than asked for may be granted. */
    TAKE,
    /** An unspent rest, which the holder no longer spends from, returns to the plan. */
    GIVE_BACK
  }
}
