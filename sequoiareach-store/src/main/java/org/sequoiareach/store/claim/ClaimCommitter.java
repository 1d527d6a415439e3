package org.sequoiareach.store.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.kv.KeyValueEntry;
import org.sequoiareach.store.kv.KeyValueException;
import org.sequoiareach.store.kv.KeyValueService;
import org.sequoiareach.store.kv.Transaction;
import org.sequoiareach.store.kv.TransactionResult;

/**
 * Writes claims by group commit: at most one transaction is in flight, and claims that arrive
 * meanwhile are queued for the next one. Confined to the event loop.
 *
 * <p>A transaction whose response was lost is resolved before the next one is sent: advancing the
 * fence ensures that the transaction has either taken effect or never will, so that a subsequent
 * read of its keys is final.
 */
final class ClaimCommitter {

  /** Receives the outcome of each claim. */
  interface Listener {

    /** Invoked when a claim is stored for its author. */
    void onClaimed(PendingClaim claim, HeldClaim held);

    /** Invoked when a claim can no longer take effect because another entry holds the key. */
    void onConflict(PendingClaim claim, KeyValueEntry found);

    /** Invoked when a claim answered before it was resolved can no longer take effect. */
    void onWithdrawn(PendingClaim claim);
  }

  /**
   * Claims per transaction, each of which takes one of the 128 operations that the service allows.
   */
  static final int MAX_BATCH_CLAIMS = 60;

  private static final Logger LOG = LogManager.getLogger(ClaimCommitter.class);
  private static final int FAILURES_BEFORE_SESSION_RESET = 3;

  /** Minimum interval before a transaction that is not full, to limit the load on the service. */
  private static final long MIN_TRANSACTION_INTERVAL_MS = 20;

  private final KeyValueService keyValues;
  private final ClaimEventLoop loop;
  private final ClaimSession session;
  private final Listener listener;
  private final Deque<PendingClaim> queue = new ArrayDeque<>();
  private boolean transactionInFlight;
  private long earliestSendMs = Long.MIN_VALUE;
  private int failures;

  ClaimCommitter(
      KeyValueService keyValues, ClaimEventLoop loop, ClaimSession session, Listener listener) {
    this.keyValues = keyValues;
    this.loop = loop;
    this.session = session;
    this.listener = listener;
  }

  /** The claims of one transaction and the lease that they are bound to. */
  private record Batch(List<PendingClaim> claims, long leaseId, long expiresAtMs) {}

  int waiting() {
    return queue.size();
  }

  void add(PendingClaim claim) {
    queue.addLast(claim);
    startIfIdle();
  }

  /** Removes a claim from the queue unless it has already been sent. */
  void withdraw(PendingClaim claim) {
    if (queue.remove(claim)) {
      listener.onWithdrawn(claim);
    }
  }

  private void startIfIdle() {
    if (transactionInFlight || queue.isEmpty()) {
      return;
    }
    transactionInFlight = true;
    if (queue.size() < MAX_BATCH_CLAIMS && loop.nowMs() < earliestSendMs) {
      loop.runAt(earliestSendMs, this::openAndSend);
      return;
    }
    openAndSend();
  }

  private void openAndSend() {
    if (session.isOpen()) {
      sendBatch();
      return;
    }
    session.open(this::sendBatch);
  }

  private void finishTransaction() {
    transactionInFlight = false;
    startIfIdle();
  }

  private void sendBatch() {
    Batch batch = new Batch(nextClaims(), session.leaseId(), session.expiresAtMs());
    if (batch.claims().isEmpty()) {
      finishTransaction();
      return;
    }
    earliestSendMs = loop.nowMs() + MIN_TRANSACTION_INTERVAL_MS;
    Transaction transaction = toTransaction(batch);
    loop.call(
        () -> keyValues.commit(transaction, loop.nowMs() + ClaimSession.CALL_TIMEOUT_MS),
        (result, failure) -> {
          if (failure == null) {
            failures = 0;
            onResult(batch, result);
            return;
          }
          onFailure(batch, failure);
        });
  }

  /**
   * Removes the oldest claims from the queue, at most one per key because a transaction may write a
   * key only once.
   */
  private List<PendingClaim> nextClaims() {
    List<PendingClaim> batch = new ArrayList<>();
    List<PendingClaim> deferred = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    while (batch.size() < MAX_BATCH_CLAIMS && !queue.isEmpty()) {
      PendingClaim claim = queue.removeFirst();
      (keys.add(claim.storeKey()) ? batch : deferred).add(claim);
    }
    requeue(deferred);
    return batch;
  }

  private void requeue(List<PendingClaim> claims) {
    for (int i = claims.size() - 1; i >= 0; i--) {
      queue.addFirst(claims.get(i));
    }
  }

  private Transaction toTransaction(Batch batch) {
    List<Transaction.Condition> conditions = new ArrayList<>();
    List<Transaction.Put> puts = new ArrayList<>();
    conditions.add(session.fenceCondition());
    for (PendingClaim claim : batch.claims()) {
      conditions.add(new Transaction.Condition(claim.storeKey(), 0));
      puts.add(new Transaction.Put(claim.storeKey(), claim.value().toText(), batch.leaseId()));
    }
    return new Transaction(conditions, puts, List.of());
  }

  private void onResult(Batch batch, TransactionResult result) {
    if (result.applied()) {
      batch.claims().forEach(claim -> reportClaimed(batch, claim, result.revision()));
      finishTransaction();
      return;
    }
    boolean fenceLost = session.isFenceLost(result.found());
    int unresolved = resolve(batch, result.found());
    if (fenceLost) {
      LOG.warn("The fence of claims is missing or was changed; a new session will be opened");
      session.close();
    }
    if (unresolved == batch.claims().size() && !fenceLost) {
      // The entries returned satisfy all conditions: a consistent service does not report this.
      loop.runAfterBackoff(1, this::finishTransaction);
      return;
    }
    finishTransaction();
  }

  private void onFailure(Batch batch, KeyValueException failure) {
    LOG.warn(
        "Failed to write {} claims; they are unresolved: {}",
        batch.claims().size(),
        failure.getMessage());
    failures++;
    if (failure.verdict() != Verdict.NOT_RUN) {
      session.advanceFence(() -> readBack(batch, 1));
      return;
    }
    resolve(batch, List.of());
    if (failures % FAILURES_BEFORE_SESSION_RESET == 0) {
      session.close();
    }
    loop.runAfterBackoff(failures, this::finishTransaction);
  }

  private void readBack(Batch batch, int attempt) {
    List<String> keys = batch.claims().stream().map(PendingClaim::storeKey).toList();
    loop.call(
        () -> keyValues.findAll(keys, loop.nowMs() + ClaimSession.CALL_TIMEOUT_MS),
        (found, failure) -> {
          if (failure != null) {
            loop.runAfterBackoff(attempt, () -> readBack(batch, attempt + 1));
            return;
          }
          resolve(batch, found);
          finishTransaction();
        });
  }

  /** Resolves claims by entries that are final, and returns the number left unresolved. */
  private int resolve(Batch batch, List<KeyValueEntry> found) {
    Map<String, KeyValueEntry> byKey = new HashMap<>();
    found.forEach(entry -> byKey.put(entry.key(), entry));
    List<PendingClaim> unresolved = new ArrayList<>();
    for (PendingClaim claim : batch.claims()) {
      KeyValueEntry entry = byKey.get(claim.storeKey());
      if (entry != null) {
        resolve(batch, claim, entry);
      } else if (claim.isAnswered()) {
        listener.onWithdrawn(claim);
      } else {
        unresolved.add(claim);
      }
    }
    requeue(unresolved);
    return unresolved.size();
  }

  private void resolve(Batch batch, PendingClaim claim, KeyValueEntry entry) {
    boolean held =
        ClaimValue.parse(entry.value()).filter(value -> value.equals(claim.value())).isPresent();
    if (held) {
      reportClaimed(batch, claim, entry.modRevision());
      return;
    }
    listener.onConflict(claim, entry);
  }

  private void reportClaimed(Batch batch, PendingClaim claim, long modRevision) {
    HeldClaim held =
        new HeldClaim(
            claim.storeKey(), claim.value(), modRevision, batch.leaseId(), batch.expiresAtMs());
    listener.onClaimed(claim, held);
  }
}
