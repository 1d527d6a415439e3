package org.sequoiareach.decision.event;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import org.sequoiareach.decision.budget.TokenAmount;

/** Event about the daily token plans of organisations. */
@JsonSubTypes({
  @JsonSubTypes.Type(BudgetEvent.DayBegan.class),
  @JsonSubTypes.Type(BudgetEvent.LedgerWritten.class),
  @JsonSubTypes.Type(BudgetEvent.LedgerUnknown.class)
})
public interface BudgetEvent extends Event {

  /**
   * A day has begun, or the process has started during it. No plan is enforced before the first
   * such event.
   *
   * @param nowMs the time of observation
   * @param day the day, as in {@code 2026-12-03}
   * @param endsMs the end of the day, on this daemon's clock
   */
  record DayBegan(long nowMs, String day, long endsMs) implements BudgetEvent {}

  /**
   * The pending entry of a ledger is stored in the key-value service.
   *
   * @param nowMs the time of observation
   * @param organisation the organisation
   * @param day the day
   * @param granted the tokens granted
   */
  record LedgerWritten(long nowMs, String organisation, String day, TokenAmount granted)
      implements BudgetEvent {}

  /**
   * The write of the pending entry of a ledger failed or its outcome is unknown.
   *
   * @param nowMs the time of observation
   * @param organisation the organisation
   * @param day the day
   */
  record LedgerUnknown(long nowMs, String organisation, String day) implements BudgetEvent {}
}
