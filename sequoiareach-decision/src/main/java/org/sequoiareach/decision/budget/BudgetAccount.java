package org.sequoiareach.decision.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * One daemon's account of an organisation's token plan for one day, funded by portions leased from
 * the {@link BudgetLedger}.
 *
 * <p>A request reserves its prompt tokens and its maximum completion tokens. When it ends, it
 * settles the tokens used, and the rest becomes free again. Usage therefore never exceeds the
 * leased portions. The portions are recorded in the ledger before they are used and never exceed
 * the plan. A daemon that crashes leaves unused at most the tokens it held: two portions, or one
 * portion and the largest reservation requested. While the ledger cannot be written, the account
 * uses up the tokens it holds; further requests are then refused as not run.
 *
 * <p>The caller writes each {@link LedgerEntry} to the ledger and reports the outcome through
 * {@link #recordWritten} or {@link #recordUnknownOutcome}. An entry with an unknown outcome is
 * returned again unchanged. Not thread-safe; used by the control thread only.
 */
public final class BudgetAccount {

  private static final int MAX_FREE_PORTIONS = 3;
  private static final long EXHAUSTED_RECHECK_MS = 30_000;

  private final String holder;
  private final BudgetSettings settings;
  private final Map<String, TokenAmount> reservations = new HashMap<>();
  private TokenAmount plan;
  private TokenAmount free = TokenAmount.NONE;
  private TokenAmount spent = TokenAmount.NONE;
  private TokenAmount debt = TokenAmount.NONE;
  private TokenAmount largestRequested = TokenAmount.NONE;
  private Optional<LedgerEntry> pendingEntry = Optional.empty();
  private boolean inFlight;
  private boolean planExhausted;
  private long nextRecheckMs;
  private boolean closed;
  private long sequence;
  private long nextWriteMs = Long.MIN_VALUE;

  /**
   * Creates an account without tokens.
   *
   * @param holder the id of this daemon's run, unique across all daemons and restarts
   * @param plan the plan of the day
   * @param settings the settings
   */
  public BudgetAccount(String holder, TokenAmount plan, BudgetSettings settings) {
    this.holder = Check.hasText(holder, "holder");
    this.plan = Check.notNull(plan, "plan");
    this.settings = Check.notNull(settings, "settings");
  }

  /** Result of reserving tokens. */
  public enum ReservationResult {
    /** The tokens are reserved. */
    RESERVED,
    /** Another portion is needed first; the caller retries once the ledger has been written. */
    WAIT,
    /** The remaining plan of the day is too small. */
    SPENT
  }

  /**
   * Reserves tokens for a request.
   *
   * @param requestId the request
   * @param amount the prompt tokens and maximum completion tokens of the request
   * @return the result
   */
  public ReservationResult reserve(String requestId, TokenAmount amount) {
    requireNoReservation(requestId);
    if (closed) {
      return ReservationResult.SPENT;
    }
    if (free.covers(amount)) {
      free = free.minus(amount);
      reservations.put(requestId, amount);
      return ReservationResult.RESERVED;
    }
    largestRequested = largestRequested.max(amount);
    boolean moreAvailable = pendingEntry.isPresent() || !planExhausted;
    return moreAvailable && plan.covers(amount) ? ReservationResult.WAIT : ReservationResult.SPENT;
  }

  /**
   * Admits a request without a reservation; the tokens it uses become debt, which the next portion
   * covers.
   *
   * @param requestId the request
   */
  public void admitWithDebt(String requestId) {
    requireNoReservation(requestId);
    reservations.put(requestId, TokenAmount.NONE);
  }

  /**
   * Settles a reservation. Tokens used beyond the reservation are taken from the free tokens; the
   * rest becomes debt.
   *
   * @param requestId the request; ignored if it has no reservation
   * @param used the tokens used, {@link TokenAmount#NONE} if the request did not run
   */
  public void settle(String requestId, TokenAmount used) {
    TokenAmount reserved = reservations.remove(requestId);
    if (reserved == null) {
      return;
    }
    spent = spent.plus(used);
    free = free.plus(reserved);
    debt = debt.plus(used);
    payDebt();
  }

  /**
   * Replaces the plan.
   *
   * @param changed the plan of a newer sheet
   */
  public void setPlan(TokenAmount changed) {
    planExhausted = planExhausted && plan.covers(changed);
    nextRecheckMs = 0;
    plan = Check.notNull(changed, "changed");
  }

  /**
   * Returns the entry to write to the ledger now, if any. It stays pending until its outcome is
   * known.
   *
   * @param nowMs the current time in milliseconds
   * @return the entry, empty if none is due
   */
  public Optional<LedgerEntry> nextEntry(long nowMs) {
    if (inFlight || nowMs < nextWriteMs) {
      return Optional.empty();
    }
    if (pendingEntry.isEmpty()) {
      pendingEntry = createGiveBack().or(() -> createTake(nowMs));
    }
    inFlight = pendingEntry.isPresent();
    return pendingEntry;
  }

  /**
   * Records that the pending entry was written, now or by an earlier try.
   *
   * @param granted the tokens granted by the ledger
   * @throws IllegalStateException if no entry is pending
   */
  public void recordWritten(TokenAmount granted) {
    LedgerEntry entry =
        pendingEntry.orElseThrow(
            () -> new IllegalStateException("no ledger entry of " + holder + " is pending"));
    pendingEntry = Optional.empty();
    inFlight = false;
    if (entry.kind() == LedgerEntry.Kind.GIVE_BACK) {
      return;
    }
    planExhausted = !granted.covers(entry.amount());
    nextRecheckMs = 0;
    free = free.plus(granted);
    payDebt();
    largestRequested = TokenAmount.NONE;
  }

  /**
   * Records that the write of the pending entry failed or has an unknown outcome.
   *
   * @param nowMs the current time in milliseconds
   */
  public void recordUnknownOutcome(long nowMs) {
    inFlight = false;
    nextWriteMs = nowMs + settings.askAgainMs();
  }

  /** Closes the account: no more tokens are reserved, and the free tokens are given back. */
  public void close() {
    closed = true;
  }

  /**
   * Returns the tokens used by all settled requests.
   *
   * @return the tokens used
   */
  public TokenAmount spent() {
    return spent;
  }

  /**
   * Returns the tokens that can be reserved without another portion.
   *
   * @return the free tokens
   */
  public TokenAmount free() {
    return free;
  }

  /**
   * Returns the tokens used beyond the leased portions, which the next portion covers.
   *
   * @return the debt, usually {@link TokenAmount#NONE}
   */
  public TokenAmount debt() {
    return debt;
  }

  private void payDebt() {
    TokenAmount paid = debt.min(free);
    free = free.minus(paid);
    debt = debt.minus(paid);
  }

  private TokenAmount portionSize() {
    return plan.dividedBy(settings.portionsPerPlan()).max(new TokenAmount(1, 1));
  }

  /**
   * Returns whether the plan counts as exhausted. The ledger is asked again periodically, because
   * other daemons may have given tokens back.
   */
  private boolean isExhausted(long nowMs) {
    if (planExhausted && nextRecheckMs == 0) {
      nextRecheckMs = nowMs + EXHAUSTED_RECHECK_MS;
    }
    return planExhausted && nowMs < nextRecheckMs;
  }

  private Optional<LedgerEntry> createTake(long nowMs) {
    TokenAmount portion = portionSize().max(largestRequested);
    boolean low = !free.covers(portion.dividedBy(2)) || !free.covers(largestRequested);
    boolean indebted = !debt.isNone();
    if (isExhausted(nowMs) || (closed ? !indebted : !low && !indebted)) {
      return Optional.empty();
    }
    sequence++;
    TokenAmount amount = closed ? debt : portion.plus(debt);
    return Optional.of(new LedgerEntry(holder, sequence, LedgerEntry.Kind.TAKE, amount));
  }

  private Optional<LedgerEntry> createGiveBack() {
    TokenAmount portion = portionSize();
    TokenAmount maxFree = portion.times(MAX_FREE_PORTIONS);
    boolean excessive = !maxFree.covers(free) && !free.minus(portion).isNone();
    if (closed ? free.isNone() : !excessive) {
      return Optional.empty();
    }
    // Removed before the write, so that tokens are never used after a write with a lost answer.
    TokenAmount rest = closed ? free : free.minus(portion);
    free = free.minus(rest);
    sequence++;
    return Optional.of(new LedgerEntry(holder, sequence, LedgerEntry.Kind.GIVE_BACK, rest));
  }

  private void requireNoReservation(String requestId) {
    if (reservations.containsKey(requestId)) {
      throw new IllegalArgumentException("request " + requestId + " already has a reservation");
    }
  }
}
