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
 * Writes budget ledgers to the key-value service. Each organisation and day has its own key, which
 * is updated by compare-and-swap.
 *
 * <p>An update that fails or whose answer is lost is reported to the reducer as unknown. The
 * reducer retries it, and the ledger recognises an update that was already applied by its sequence
 * number.
 */
public final class BudgetLedgerWriter implements EffectHandler {

  private static final String KEY_PREFIX = "budget/";
  private static final int MAX_CONFLICTS = 8;
  private static final long TIMEOUT_MS = 1_500;
  private static final Logger LOGGER = LogManager.getLogger(BudgetLedgerWriter.class);

  private final KeyValueService keyValues;
  private final EventSink events;

  /**
   * Creates a writer.
   *
   * @param keyValues the key-value service
   * @param events receives events for the reducer
   */
  public BudgetLedgerWriter(KeyValueService keyValues, EventSink events) {
    this.keyValues = keyValues;
    this.events = events;
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.WriteLedger write) {
      long deadlineMs = MonotonicClock.nowMs() + TIMEOUT_MS;
      update(write, deadlineMs, 0)
          .whenComplete((granted, thrown) -> report(write, granted, thrown));
    }
  }

  private CompletableFuture<TokenAmount> update(
      Effect.WriteLedger write, long deadlineMs, int conflicts) {
    String key = KEY_PREFIX + write.day() + "/" + write.organisation();
    return keyValues
        .find(key, deadlineMs)
        .thenCompose(entry -> applyEntry(write, key, entry, deadlineMs, conflicts));
  }

  private CompletableFuture<TokenAmount> applyEntry(
      Effect.WriteLedger write,
      String key,
      Optional<KeyValueEntry> stored,
      long deadlineMs,
      int conflicts) {
    BudgetLedger before = stored.map(BudgetLedgerWriter::parse).orElse(BudgetLedger.EMPTY);
    BudgetLedger after = before.apply(write.entry(), write.plan());
    TokenAmount granted = after.granted(write.entry());
    if (after.equals(before)) {
      return CompletableFuture.completedFuture(granted);
    }
    long revision = stored.map(KeyValueEntry::modRevision).orElse(0L);
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
              if (conflicts == MAX_CONFLICTS) {
                return CompletableFuture.failedFuture(
                    new IllegalStateException(
                        "the ledger "
                            + key
                            + " was changed concurrently "
                            + (MAX_CONFLICTS + 1)
                            + " times"));
              }
              return update(write, deadlineMs, conflicts + 1);
            });
  }

  private void report(Effect.WriteLedger write, TokenAmount granted, Throwable thrown) {
    long nowMs = MonotonicClock.nowMs();
    if (thrown == null) {
      events.post(new BudgetEvent.LedgerWritten(nowMs, write.organisation(), write.day(), granted));
      return;
    }
    LOGGER.warn(
        "The ledger of organisation {} for {} was not written: {}",
        write.organisation(),
        write.day(),
        thrown.toString());
    events.post(new BudgetEvent.LedgerUnknown(nowMs, write.organisation(), write.day()));
  }

  private static BudgetLedger parse(KeyValueEntry entry) {
    try {
      return Json.mapper().readValue(entry.value(), BudgetLedger.class);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the ledger " + entry.key() + " cannot be parsed", e);
    }
  }

  private static String format(BudgetLedger ledger) {
    try {
      return Json.mapper().writeValueAsString(ledger);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the ledger cannot be written as JSON", e);
    }
  }
}
