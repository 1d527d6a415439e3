package org.sequoiareach.decision.reducer;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sequoiareach.decision.budget.BudgetAccount;
import org.sequoiareach.decision.budget.BudgetSettings;
import org.sequoiareach.decision.budget.TokenAmount;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.BudgetEvent;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.Sheet;

/**
 * Enforces the daily token plans of organisations.
 *
 * <p>Keeps one {@link BudgetAccount} per organisation for the current day. While an organisation's
 * ledger is unavailable, the {@link OverdraftLimiter} decides what may be used beyond the leased
 * portions.
 */
final class BudgetManager {

  private final String holder;
  private final EffectCollector effects;
  private final Map<String, BudgetAccount> accounts = new TreeMap<>();
  private final Map<String, TokenAmount> plans = new TreeMap<>();
  private OverdraftLimiter overdraftLimiter = new OverdraftLimiter();
  private String day = "";
  private long dayEndsMs;

  BudgetManager(ReducerSettings settings, EffectCollector effects) {
    this.holder = settings.runId();
    this.effects = effects;
  }

  /** Opens new accounts; tokens still held by the accounts of the previous day expire unused. */
  void startDay(BudgetEvent.DayBegan event) {
    day = event.day();
    dayEndsMs = event.endsMs();
    accounts.clear();
    overdraftLimiter = new OverdraftLimiter();
  }

  /** Applies the plans of a newer sheet. */
  void useSheet(Sheet sheet) {
    plans.clear();
    for (OrganisationEntry organisation : sheet.organisations()) {
      plans.put(organisation.id(), toTokenAmount(organisation.plan()));
    }
    accounts.forEach((id, account) -> account.setPlan(planOf(id)));
  }

  /**
   * Reserves the prompt tokens and the maximum completion tokens of a request. Without a known day
   * no plan is enforced and every reservation succeeds.
   */
  BudgetAccount.ReservationResult reserve(long nowMs, RequestSpec spec) {
    if (day.isEmpty()) {
      return BudgetAccount.ReservationResult.RESERVED;
    }
    String id = spec.organisation();
    BudgetAccount account = accounts.computeIfAbsent(id, this::openAccount);
    TokenAmount maximum = new TokenAmount(spec.promptTokens(), spec.maxTokens());
    BudgetAccount.ReservationResult result = account.reserve(spec.requestId(), maximum);
    writeNextEntry(nowMs, id, account);
    if (result == BudgetAccount.ReservationResult.WAIT
        && overdraftLimiter.tryReserve(spec, maximum, planOf(id))) {
      account.admitWithDebt(spec.requestId());
      return BudgetAccount.ReservationResult.RESERVED;
    }
    return result;
  }

  /** Settles a reservation by the tokens used, {@link TokenAmount#NONE} if it did not run. */
  void settle(RequestSpec spec, TokenAmount used) {
    BudgetAccount account = accounts.get(spec.organisation());
    if (account != null) {
      account.settle(spec.requestId(), used);
      overdraftLimiter.settle(spec, used);
    }
  }

  void handleLedgerWritten(BudgetEvent.LedgerWritten event) {
    if (event.day().equals(day)) {
      overdraftLimiter.ledgerAvailable(event.organisation());
      findAccount(event.organisation())
          .ifPresent(account -> account.recordWritten(event.granted()));
    }
  }

  void handleLedgerUnknown(BudgetEvent.LedgerUnknown event) {
    if (event.day().equals(day)) {
      overdraftLimiter.ledgerUnavailable(event.organisation());
      findAccount(event.organisation())
          .ifPresent(account -> account.recordUnknownOutcome(event.nowMs()));
    }
  }

  /** Requests the ledger writes that are due. */
  void writeDueEntries(long nowMs) {
    accounts.forEach((id, account) -> writeNextEntry(nowMs, id, account));
  }

  /** Returns the milliseconds until the next day's plan takes effect, at least 1. */
  long untilNextDayMs(long nowMs) {
    return Math.max(1, dayEndsMs - nowMs);
  }

  private void writeNextEntry(long nowMs, String id, BudgetAccount account) {
    account
        .nextEntry(nowMs)
        .ifPresent(entry -> effects.add(new Effect.WriteLedger(id, day, entry, planOf(id))));
  }

  private Optional<BudgetAccount> findAccount(String id) {
    return Optional.ofNullable(accounts.get(id));
  }

  private BudgetAccount openAccount(String id) {
    return new BudgetAccount(holder, planOf(id), BudgetSettings.defaults());
  }

  private TokenAmount planOf(String id) {
    return plans.getOrDefault(id, TokenAmount.NONE);
  }

  private static TokenAmount toTokenAmount(PlanEntry plan) {
    return new TokenAmount(plan.promptTokensPerDay(), plan.completionTokensPerDay());
  }
}
