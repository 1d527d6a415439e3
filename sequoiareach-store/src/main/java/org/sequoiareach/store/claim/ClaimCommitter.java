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
 * Writes claims in groups: one transaction is in flight, and claims that arrive meanwhile go into
 * the next. Belongs to the control loop.
 *
 * <p>A transaction whose answer was lost is resolved before the next is sent: the fence is
 * advanced, after which the lost transaction has either taken effect or never will, and its keys
 * are read.
 */
final class ClaimCommitter {

  /** Is told how claims were resolved. */
  interface Listener {

    /** A claim stands under its author. */
    void won(PendingClaim claim, OwnClaim own);

    /** A claim does not stand and never will; the entry that stands in its way is given. */
    void lost(PendingClaim claim, KeyValueEntry found);

    /** A claim does not stand and never will, as it was given up before it was decided. */
    void dropped(PendingClaim claim);
  }

  /** Claims of one transaction; each takes one of the 128 operations the service allows. */
  static final int MAX_CLAIMS = 60;

  private static final Logger LOG = LogManager.getLogger(ClaimCommitter.class);
  private static final int FAILURES_PER_SESSION = 3;

  /** The least time from one transaction that is not full to the next, to spare the service. */
  private static final long TRANSACTION_GAP_MS = 20;

  private final KeyValueService keyValues;
  private final ControlLoop loop;
  private final ClaimSession session;
  private final Listener listener;
  private final Deque<PendingClaim> queue = new ArrayDeque<>();
  private boolean busy;
  private long nextSendMs = Long.MIN_VALUE;
  private int failures;

  ClaimCommitter(
      KeyValueService keyValues, ControlLoop loop, ClaimSession session, Listener listener) {
    this.keyValues = keyValues;
    this.loop = loop;
    this.session = session;
    this.listener = listener;
  }

  /** Holds the claims of one transaction and the lease they are bound to. */
  private record Batch(List<PendingClaim> claims, long leaseId, long expiresAtMs) {}

  int waiting() {
    return queue.size();
  }

  void add(PendingClaim claim) {
    queue.addLast(claim);
    startIfIdle();
  }

  /** Takes a claim out if it has not been sent. */
  void withdraw(PendingClaim claim) {
    if (queue.remove(claim)) {
      listener.dropped(claim);
    }
  }

  private void startIfIdle() {
    if (busy || queue.isEmpty()) {
      return;
    }
    busy = true;
    if (queue.size() < MAX_CLAIMS && loop.nowMs() < nextSendMs) {
      loop.runAt(nextSendMs, this::openAndSend);
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

  private void becomeIdle() {
    busy = false;
    startIfIdle();
  }

  private void sendBatch() {
    Batch batch = new Batch(takeClaims(), session.leaseId(), session.expiresAtMs());
    if (batch.claims().isEmpty()) {
      becomeIdle();
      return;
    }
    nextSendMs = loop.nowMs() + TRANSACTION_GAP_MS;
    Transaction transaction = toTransaction(batch);
    loop.call(
        () -> keyValues.commit(transaction, loop.nowMs() + ClaimSession.CALL_MS),
        (result, failure) -> {
          if (failure == null) {
            failures = 0;
            onResult(batch, result);
            return;
          }
          onFailure(batch, failure);
        });
  }

  /** Takes the oldest claims, but one of each key, as a transaction may write a key but once. */
  private List<PendingClaim> takeClaims() {
    List<PendingClaim> batch = new ArrayList<>();
    List<PendingClaim> later = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    while (batch.size() < MAX_CLAIMS && !queue.isEmpty()) {
      PendingClaim claim = queue.removeFirst();
      (keys.add(claim.storeKey()) ? batch : later).add(claim);
    }
    putBack(later);
    return batch;
  }

  private void putBack(List<PendingClaim> claims) {
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
      batch.claims().forEach(claim -> win(batch, claim, result.revision()));
      becomeIdle();
      return;
    }
    boolean fenceLost = session.isFenceLost(result.found());
    int undecided = decide(batch, result.found());
    if (fenceLost) {
      LOG.warn("The fence of claims was lost in the key-value service; it is written again.");
      session.close();
    }
    if (undecided == batch.claims().size() && !fenceLost) {
      // Nothing found explains the refusal; a service in order does not answer so.
      loop.runAfterBackoff(1, this::becomeIdle);
      return;
    }
    becomeIdle();
  }

  private void onFailure(Batch batch, KeyValueException failure) {
    LOG.warn("{} claims are undecided: {}", batch.claims().size(), failure.getMessage());
    failures++;
    if (failure.verdict() != Verdict.NOT_RUN) {
      session.advanceFence(() -> readBack(batch, 1));
      return;
    }
    decide(batch, List.of());
    if (failures % FAILURES_PER_SESSION == 0) {
      session.close();
    }
    loop.runAfterBackoff(failures, this::becomeIdle);
  }

  private void readBack(Batch batch, int attempt) {
    List<String> keys = batch.claims().stream().map(PendingClaim::storeKey).toList();
    loop.call(
        () -> keyValues.findAll(keys, loop.nowMs() + ClaimSession.CALL_MS),
        (found, failure) -> {
          if (failure != null) {
            loop.runAfterBackoff(attempt, () -> readBack(batch, attempt + 1));
            return;
          }
          decide(batch, found);
          becomeIdle();
        });
  }

  /** Decides claims by entries that are final, and returns how many stay undecided. */
  private int decide(Batch batch, List<KeyValueEntry> found) {
    Map<String, KeyValueEntry> byKey = new HashMap<>();
    found.forEach(entry -> byKey.put(entry.key(), entry));
    List<PendingClaim> undecided = new ArrayList<>();
    for (PendingClaim claim : batch.claims()) {
      KeyValueEntry entry = byKey.get(claim.storeKey());
      if (entry != null) {
        decide(batch, claim, entry);
      } else if (claim.isAnswered()) {
        listener.dropped(claim);
      } else {
        undecided.add(claim);
      }
    }
    putBack(undecided);
    return undecided.size();
  }

  private void decide(Batch batch, PendingClaim claim, KeyValueEntry entry) {
    boolean own =
        ClaimValue.parse(entry.value()).filter(value -> value.equals(claim.value())).isPresent();
    if (own) {
      win(batch, claim, entry.modRevision());
      return;
    }
    listener.lost(claim, entry);
  }

  private void win(Batch batch, PendingClaim claim, long modRevision) {
    OwnClaim own =
        new OwnClaim(
            claim.storeKey(), claim.value(), modRevision, batch.leaseId(), batch.expiresAtMs());
    listener.won(claim, own);
  }
}
