package org.sequoiareach.decision.budget;

import java.util.Map;
import java.util.TreeMap;
import org.sequoiareach.model.Check;

/**
 * Ledger of the tokens leased from one organisation's plan for one day. Immutable; stored in the
 * key-value service and replaced by compare-and-swap.
 *
 * <p>The ledger keeps the latest entry of each holder with its result. An entry whose answer was
 * lost is thereby recognised when it is applied again.
 *
 * @param taken the sum of all leased portions, used or not
 * @param latest the latest applied entry by holder
 */
public record BudgetLedger(TokenAmount taken, Map<String, Applied> latest) {

  /** Ledger without leased portions. */
  public static final BudgetLedger EMPTY = new BudgetLedger(TokenAmount.NONE, Map.of());

  /** Validates and copies the components. */
  public BudgetLedger {
    Check.notNull(taken, "taken");
    latest = Map.copyOf(latest);
  }

  /**
   * Applied ledger entry.
   *
   * @param sequence the sequence number of the entry
   * @param granted the tokens granted or given back
   */
  public record Applied(long sequence, TokenAmount granted) {}

  /**
   * Applies an entry unless it was applied before.
   *
   * @param entry the entry
   * @param plan the current plan, which may have changed since the last portion
   * @return the ledger to write; this instance if the entry was applied before
   */
  public BudgetLedger apply(LedgerEntry entry, TokenAmount plan) {
    Applied previous = latest.get(entry.holder());
    if (previous != null && previous.sequence() >= entry.sequence()) {
      return this;
    }
    boolean take = entry.kind() == LedgerEntry.Kind.TAKE;
    TokenAmount granted = take ? entry.amount().min(plan.minus(taken)) : entry.amount();
    Map<String, Applied> updated = new TreeMap<>(latest);
    updated.put(entry.holder(), new Applied(entry.sequence(), granted));
    return new BudgetLedger(take ? taken.plus(granted) : taken.minus(granted), updated);
  }

  /**
   * Returns the tokens granted by an applied entry.
   *
   * @param entry the entry
   * @return the tokens granted, {@link TokenAmount#NONE} if it is not the holder's latest entry
   */
  public TokenAmount granted(LedgerEntry entry) {
    Applied applied = latest.get(entry.holder());
    boolean known = applied != null && applied.sequence() == entry.sequence();
    return known ? applied.granted() : TokenAmount.NONE;
  }
}
