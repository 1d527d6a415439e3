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
 * Gives claims back or marks them finished, in groups. Belongs to the control loop.
 *
 * <p>Each change is conditional on the revision of the claim, so it may be sent again after a lost
 * answer, and a change that takes effect late never touches a later claim of the same key.
 */
final class SettlementCommitter {

  private static final Logger LOG = LogManager.getLogger(SettlementCommitter.class);
  private static final int MAX_SETTLEMENTS = 60;

  /** The least time from one transaction that is not full to the next, to spare the service. */
  private static final long TRANSACTION_GAP_MS = 100;

  private final KeyValueService keyValues;
  private final ControlLoop loop;
  private final int maxWaiting;
  private final Deque<Settlement> queue = new ArrayDeque<>();
  private boolean busy;
  private long nextSendMs = Long.MIN_VALUE;
  private int failures;
  private long abandoned;

  SettlementCommitter(KeyValueService keyValues, ControlLoop loop, int maxWaiting) {
    this.maxWaiting = maxWaiting;
    this.keyValues = keyValues;
    this.loop = loop;
  }

  private record Settlement(OwnClaim claim, boolean finished, CompletableFuture<Void> done) {}

  int waiting() {
    return queue.size();
  }

  /** Returns how many claims were left to expire because too many settlements waited. */
  long abandoned() {
    return abandoned;
  }

  void giveBack(OwnClaim claim, CompletableFuture<Void> done) {
    add(new Settlement(claim, false, done));
  }

  void markFinished(OwnClaim claim, CompletableFuture<Void> done) {
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
        maxWaiting
            + " settlements wait already; claim "
            + settlement.claim().storeKey()
            + " stays held until it expires.";
    LOG.error(message);
    settlement.done().completeExceptionally(new KeyValueException(Verdict.NOT_RUN, message, null));
  }

  private void sendIfIdle() {
    if (busy || queue.isEmpty()) {
      return;
    }
    busy = true;
    if (queue.size() < MAX_SETTLEMENTS && loop.nowMs() < nextSendMs) {
      loop.runAt(nextSendMs, this::send);
      return;
    }
    send();
  }

  private void send() {
    List<Settlement> batch = takeBatch();
    if (batch.isEmpty()) {
      becomeIdle();
      return;
    }
    nextSendMs = loop.nowMs() + TRANSACTION_GAP_MS;
    Transaction transaction = toTransaction(batch);
    loop.call(
        () -> keyValues.commit(transaction, loop.nowMs() + ClaimSession.CALL_MS),
        (result, failure) -> {
          if (failure == null) {
            onResult(batch, result);
            return;
          }
          onFailure(batch, failure);
        });
  }

  private void becomeIdle() {
    busy = false;
    sendIfIdle();
  }

  /**
   * Takes the oldest settlements, but one of each key. After failures it takes fewer, so that one
   * that the service always refuses does not hold up the others.
   */
  private List<Settlement> takeBatch() {
    int most = Math.max(1, MAX_SETTLEMENTS >> Math.min(failures, 6));
    List<Settlement> batch = new ArrayList<>();
    List<Settlement> later = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    while (batch.size() < most && !queue.isEmpty()) {
      Settlement settlement = queue.removeFirst();
      if (loop.nowMs() >= settlement.claim().expiresAtMs()) {
        settlement.done().complete(null);
        continue;
      }
      (keys.add(settlement.claim().storeKey()) ? batch : later).add(settlement);
    }
    queue.addAll(later);
    return batch;
  }

  private static Transaction toTransaction(List<Settlement> batch) {
    List<Transaction.Condition> conditions = new ArrayList<>();
    List<Transaction.Put> puts = new ArrayList<>();
    List<String> deletes = new ArrayList<>();
    for (Settlement settlement : batch) {
      OwnClaim claim = settlement.claim();
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
      becomeIdle();
      return;
    }
    if (completeChanged(batch, result.found()) == 0) {
      // Nothing found explains the refusal; a service in order does not answer so.
      loop.runAfterBackoff(1, this::becomeIdle);
      return;
    }
    becomeIdle();
  }

  /** Completes settlements whose claim is no longer as it was, and puts the others back. */
  private int completeChanged(List<Settlement> batch, List<KeyValueEntry> found) {
    Map<String, Long> revisions = new HashMap<>();
    found.forEach(entry -> revisions.put(entry.key(), entry.modRevision()));
    int changed = 0;
    for (Settlement settlement : batch) {
      Long revision = revisions.get(settlement.claim().storeKey());
      if (revision != null && revision == settlement.claim().modRevision()) {
        queue.addLast(settlement);
        continue;
      }
      // An earlier send of the same change took effect, or the claim has lapsed.
      changed++;
      settlement.done().complete(null);
    }
    return changed;
  }

  private void onFailure(List<Settlement> batch, KeyValueException failure) {
    failures++;
    LOG.warn(
        "{} claims are not settled yet, {} wait: {}",
        batch.size(),
        queue.size(),
        failure.getMessage());
    queue.addAll(batch);
    loop.runAfterBackoff(failures, this::becomeIdle);
  }
}
