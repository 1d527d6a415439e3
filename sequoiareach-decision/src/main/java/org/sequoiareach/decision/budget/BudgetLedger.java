package org.sequoiareach.decision.budget;

import java.util.Map;
import java.util.TreeMap;
import org.sequoiareach.model.Check;

/**
 * Holds what has been taken from the plan of one organisation and day. Immutable; it is kept in the
 * key-value service and replaced by compare-and-swap.
 *
 * <p>The latest change of each holder is kept with its result, so that a change whose answer was
 * lost is recognised when it is applied again.
 *
 * @param taken the sum of all portions out, spent or not
 * @param latest the latest change applied for each holder
 */
public record BudgetLedger(TokenAmount taken, Map<String, Applied> latest) {

  /** A ledger from which nothing was taken. */
  public static final BudgetLedger EMPTY = new BudgetLedger(TokenAmount.NONE, Map.of());

  /** Checks and copies the parts. */
  public BudgetLedger {
    Check.notNull(taken, "taken");
    latest = Map.copyOf(latest);
  }

  /**
   * Holds a change that was applied.
   *
   * @param sequence its number
   * @param granted what was granted or given back
   */
  public record Applied(long sequence, TokenAmount granted) {}

  /**
   * Applies a change, unless it was applied before.
   *
   * @param entry the change
   * @param plan the plan in force, which may have changed since the last portion
   * @return the ledger to write; the same one if the change was applied before
   */
  public BudgetLedger apply(LedgerEntry entry, TokenAmount plan) {
    Applied before = latest.get(entry.holder());
    if (before != null && before.sequence() >= entry.sequence()) {
      return this;
    }
    boolean take = entry.kind() == LedgerEntry.Kind.TAKE;
    TokenAmount granted = take ? entry.amount().min(plan.minus(taken)) : entry.amount();
    Map<String, Applied> after = new TreeMap<>(latest);
    after.put(entry.holder(), new Applied(entry.sequence(), granted));
    return new BudgetLedger(take ? taken.plus(granted) : taken.minus(granted), after);
  }

  /**
   * Returns what the latest change of a holder granted.
   *
   * @param entry the change, which was applied
   * @return the amount granted
   */
  public TokenAmount granted(LedgerEntry entry) {
    Applied applied = latest.get(entry.holder());
    boolean known = applied != null && applied.sequence() == entry.sequence();
    return known ? applied.granted() : TokenAmount.NONE;
  }
}
