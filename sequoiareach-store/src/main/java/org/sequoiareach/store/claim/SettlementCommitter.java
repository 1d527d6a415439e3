package org.sequoiareach.store.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.kv.KeyValueEntry;
import org.sequoiareach.store.kv.KeyValueException;
import org.sequoiareach.store.kv.KeyValueService;
import org.sequoiareach.store.kv.Transaction;
import org.sequoiareach.store.kv.TransactionResult;

/**
 * Releases claims or marks them finished, in batches of one transaction each. Confined to the event
 * loop.
 *
 * <p>Each change is conditional on the revision of the claim. It can therefore be retried after a
 * lost response, and a change that takes effect late never affects a later claim on the same key.
 */
final class SettlementCommitter {

  private static final Logger LOG = LogManager.getLogger(SettlementCommitter.class);
  private static final int MAX_BATCH_SETTLEMENTS = 60;

  /** Minimum interval before a transaction that is not full, to limit the load on the service. */
  private static final long MIN_TRANSACTION_INTERVAL_MS = 100;

  private final KeyValueService keyValues;
  private final ClaimEventLoop loop;
  private final int maxWaiting;
  private final Deque<Settlement> queue = new ArrayDeque<>();
  private boolean transactionInFlight;
  private long earliestSendMs = Long.MIN_VALUE;
  private int failures;
  private long abandoned;

  SettlementCommitter(KeyValueService keyValues, ClaimEventLoop loop, int maxWaiting) {
    this.maxWaiting = maxWaiting;
    this.keyValues = keyValues;
    this.loop = loop;
  }

  /** A claim to release or to mark finished. */
  private record Settlement(HeldClaim claim, boolean finished, CompletableFuture<Void> done) {}

  int waiting() {
    return queue.size();
  }

  /** Returns the number of claims left to expire because the settlement queue was full. */
  long abandoned() {
    return abandoned;
  }

  void release(HeldClaim claim, CompletableFuture<Void> done) {
    add(new Settlement(claim, false, done));
  }

  void markFinished(HeldClaim claim, CompletableFuture<Void> done) {
    add(new Settlement(claim, true, done));
  }

  private void add(Settlement settlement) {
    if (queue.size() >= maxWaiting) {
      abandon(settlement);
      return;
    }
    queue.addLast(settlement);
    sendIfIdle();
  }

  private void abandon(Settlement settlement) {
    abandoned++;
    String message =
        "Settlement queue is full (limit "
            + maxWaiting
            + "); claim "
            + settlement.claim().storeKey()
            + " stays held until it expires";
    LOG.error(message);
    settlement.done().completeExceptionally(new KeyValueException(Verdict.NOT_RUN, message, null));
  }

  private void sendIfIdle() {
    if (transactionInFlight || queue.isEmpty()) {
      return;
    }
    transactionInFlight = true;
    if (queue.size() < MAX_BATCH_SETTLEMENTS && loop.nowMs() < earliestSendMs) {
      loop.runAt(earliestSendMs, this::send);
      return;
    }
    send();
  }

  private void send() {
    List<Settlement> batch = nextBatch();
    if (batch.isEmpty()) {
      finishTransaction();
      return;
    }
    earliestSendMs = loop.nowMs() + MIN_TRANSACTION_INTERVAL_MS;
    Transaction transaction = toTransaction(batch);
    loop.call(
        () -> keyValues.commit(transaction, loop.nowMs() + ClaimSession.CALL_TIMEOUT_MS),
        (result, failure) -> {
          if (failure == null) {
            onResult(batch, result);
            return;
          }
          onFailure(batch, failure);
        });
  }

  private void finishTransaction() {
    transactionInFlight = false;
    sendIfIdle();
  }

  /**
   * Removes the oldest settlements from the queue, at most one per key. The batch size halves with
   * each consecutive failure so that a settlement that the service always rejects cannot block the
   * others.
   */
  private List<Settlement> nextBatch() {
    int maxSettlements = Math.max(1, MAX_BATCH_SETTLEMENTS >> Math.min(failures, 6));
    List<Settlement> batch = new ArrayList<>();
    List<Settlement> deferred = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    while (batch.size() < maxSettlements && !queue.isEmpty()) {
      Settlement settlement = queue.removeFirst();
      if (loop.nowMs() >= settlement.claim().expiresAtMs()) {
        settlement.done().complete(null);
        continue;
      }
      (keys.add(settlement.claim().storeKey()) ? batch : deferred).add(settlement);
    }
    queue.addAll(deferred);
    return batch;
  }

  private static Transaction toTransaction(List<Settlement> batch) {
    List<Transaction.Condition> conditions = new ArrayList<>();
    List<Transaction.Put> puts = new ArrayList<>();
    List<String> deletes = new ArrayList<>();
    for (Settlement settlement : batch) {
      HeldClaim claim = settlement.claim();
      conditions.add(new Transaction.Condition(claim.storeKey(), claim.modRevision()));
      if (settlement.finished()) {
        String text = claim.value().asFinished().toText();
        puts.add(new Transaction.Put(claim.storeKey(), text, claim.leaseId()));
      } else {
        deletes.add(claim.storeKey());
      }
    }
    return new Transaction(conditions, puts, deletes);
  }

  private void onResult(List<Settlement> batch, TransactionResult result) {
    failures = 0;
    if (result.applied()) {
      batch.forEach(settlement -> settlement.done().complete(null));
      finishTransaction();
      return;
    }
    if (completeSuperseded(batch, result.found()) == 0) {
      // The entries returned satisfy all conditions: a consistent service does not report this.
      loop.runAfterBackoff(1, this::finishTransaction);
      return;
    }
    finishTransaction();
  }

  /** Completes settlements whose claim has changed, and requeues the others. */
  private int completeSuperseded(List<Settlement> batch, List<KeyValueEntry> found) {
    Map<String, Long> revisions = new HashMap<>();
    found.forEach(entry -> revisions.put(entry.key(), entry.modRevision()));
    int changed = 0;
    for (Settlement settlement : batch) {
      Long revision = revisions.get(settlement.claim().storeKey());
      if (revision != null && revision == settlement.claim().modRevision()) {
        queue.addLast(settlement);
        continue;
      }
      // An earlier attempt at the same change took effect, or the claim has expired.
      changed++;
      settlement.done().complete(null);
    }
    return changed;
  }

  private void onFailure(List<Settlement> batch, KeyValueException failure) {
    failures++;
    LOG.warn(
        "Failed to settle {} claims, will retry; {} more settlements are queued: {}",
        batch.size(),
        queue.size(),
        failure.getMessage());
    queue.addAll(batch);
    loop.runAfterBackoff(failures, this::finishTransaction);
  }
}
