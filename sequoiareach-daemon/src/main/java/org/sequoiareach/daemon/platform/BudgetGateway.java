package org.sequoiareach.daemon.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.budget.BudgetLedger;
import org.sequoiareach.decision.budget.TokenAmount;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.BudgetEvent;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.store.kv.KeyValueEntry;
import org.sequoiareach.store.kv.KeyValueService;
import org.sequoiareach.store.kv.Transaction;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Keeps the ledgers of organisations' days in the key-value service, one key each, changed by
 * compare-and-swap. A change whose answer was lost is told as unknown; the reducer passes it again
 * and the ledger recognises it by its number.
 */
public final class BudgetGateway implements EffectHandler {

  private static final String PREFIX = "budget/";
  private static final int MOST_CONFLICTS = 8;
  private static final long TIMEOUT_MS = 1_500;
  private static final Logger LOGGER = LogManager.getLogger(BudgetGateway.class);

  private final KeyValueService keyValues;
  private final EventSink events;

  /**
   * Creates a gateway.
   *
   * @param keyValues the key-value service
   * @param events the reducer's sink
   */
  public BudgetGateway(KeyValueService keyValues, EventSink events) {
    this.keyValues = keyValues;
    this.events = events;
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.WriteLedger write) {
      long deadlineMs = MonotonicClock.nowMs() + TIMEOUT_MS;
      write(write, deadlineMs, 0).whenComplete((granted, thrown) -> tell(write, granted, thrown));
    }
  }

  private CompletableFuture<TokenAmount> write(
      Effect.WriteLedger write, long deadlineMs, int conflicts) {
    String key = PREFIX + write.day() + "/" + write.organisation();
    return keyValues
        .find(key, deadlineMs)
        .thenCompose(entry -> change(write, key, entry, deadlineMs, conflicts));
  }

  private CompletableFuture<TokenAmount> change(
      Effect.WriteLedger write,
      String key,
      Optional<KeyValueEntry> entry,
      long deadlineMs,
      int conflicts) {
    BudgetLedger before = entry.map(BudgetGateway::parse).orElse(BudgetLedger.EMPTY);
    BudgetLedger after = before.apply(write.entry(), write.plan());
    TokenAmount granted = after.granted(write.entry());
    if (after.equals(before)) {
      return CompletableFuture.completedFuture(granted);
    }
    long revision = entry.map(KeyValueEntry::modRevision).orElse(0L);
    Transaction transaction =
        new Transaction(
            List.of(new Transaction.Condition(key, revision)),
            List.of(new Transaction.Put(key, format(after), 0)),
            List.of());
    return keyValues
        .commit(transaction, deadlineMs)
        .thenCompose(
            result -> {
              if (result.applied()) {
                return CompletableFuture.completedFuture(granted);
              }
              if (conflicts == MOST_CONFLICTS) {
                return CompletableFuture.failedFuture(
                    new IllegalStateException("the ledger " + key + " changes too often"));
              }
              return write(write, deadlineMs, conflicts + 1);
            });
  }

  private void tell(Effect.WriteLedger write, TokenAmount granted, Throwable thrown) {
    long nowMs = MonotonicClock.nowMs();
    if (thrown == null) {
      events.post(new BudgetEvent.LedgerWritten(nowMs, write.organisation(), write.day(), granted));
      return;
    }
    LOGGER.warn("The ledger of {} was not written: {}", write.organisation(), thrown.toString());
    events.post(new BudgetEvent.LedgerUnknown(nowMs, write.organisation(), write.day()));
  }

  private static BudgetLedger parse(KeyValueEntry entry) {
    try {
      return Json.mapper().readValue(entry.value(), BudgetLedger.class);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the ledger " + entry.key() + " is not readable", e);
    }
  }

  private static String format(BudgetLedger ledger) {
    try {
      return Json.mapper().writeValueAsString(ledger);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a ledger cannot be written", e);
    }
  }
}
