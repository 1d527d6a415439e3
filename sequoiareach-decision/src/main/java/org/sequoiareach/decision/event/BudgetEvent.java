package org.sequoiareach.decision.event;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import org.sequoiareach.decision.budget.TokenAmount;

/** Is something that concerns the plans of organisations. */
@JsonSubTypes({
  @JsonSubTypes.Type(BudgetEvent.DayBegan.class),
  @JsonSubTypes.Type(BudgetEvent.LedgerWritten.class),
  @JsonSubTypes.Type(BudgetEvent.LedgerUnknown.class)
})
public interface BudgetEvent extends Event {

  /**
   * A day of plans has begun, or the process has started within it. Until the first such event no
   * plan is enforced.
   *
   * @param nowMs when it was observed
   * @param day the day, as in {@code 2026-12-03}
   * @param endsMs when it ends, on this daemon's clock
   */
  record DayBegan(long nowMs, String day, long endsMs) implements BudgetEvent {}

  /**
   * A change of a ledger stands in the key-value service.
   *
   * @param nowMs when it was observed
   * @param organisation the organisation
   * @param day the day
   * @param granted what the ledger granted
   */
  record LedgerWritten(long nowMs, String organisation, String day, TokenAmount granted)
      implements BudgetEvent {}

  /**
   * The outcome of a change of a ledger is unknown, or it failed.
   *
   * @param nowMs when it was observed
   * @param organisation the organisation
   * @param day the day
   */
  record LedgerUnknown(long nowMs, String organisation, String day) implements BudgetEvent {}
}
