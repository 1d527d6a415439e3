package org.sequoiareach.store.claim;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.store.kv.KeyValueEntry;
import org.sequoiareach.store.kv.KeyValueException;
import org.sequoiareach.store.kv.KeyValueService;
import org.sequoiareach.store.kv.Transaction;
import org.sequoiareach.store.kv.TransactionResult;

/**
 * Holds the lease that claims are bound to and the fence that they are conditional on. Belongs to
 * the control loop.
 *
 * <p>The fence is a key that only this registry writes. Every transaction of claims requires that
 * the fence was last written at the revision known here. Once the fence has been written again, a
 * transaction sent before can't take effect any more, however long it was delayed, so that a read
 * of its keys is final.
 */
final class ClaimSession {

  /** How long a claim is kept at least; far longer than callers go on retrying. */
  static final long CLAIM_WINDOW_MS = Duration.ofHours(24).toMillis();

  /** How long one lease is given to new claims. */
  static final long LEASE_SHARING_MS = Duration.ofHours(1).toMillis();

  /** How long one call to the key-value service may take. */
  static final long CALL_MS = 1_000;

  private static final Logger LOG = LogManager.getLogger(ClaimSession.class);

  /** Failures in a row after which the lease may be gone, too. */
  private static final int FAILURES_PER_LEASE = 3;

  private final KeyValueService keyValues;
  private final ControlLoop loop;
  private final String registryId;
  private final String fenceKey;
  private long leaseId;
  private long leaseAskedMs;
  private long fenceRevision;
  private long fenceWrites;
  private boolean fenced;

  ClaimSession(KeyValueService keyValues, ControlLoop loop, String registryId) {
    this.keyValues = keyValues;
    this.loop = loop;
    this.registryId = registryId;
    this.fenceKey = ClaimKeys.fence(registryId);
  }

  boolean isOpen() {
    return fenced && leaseId != 0 && loop.nowMs() - leaseAskedMs < LEASE_SHARING_MS;
  }

  long leaseId() {
    return leaseId;
  }

  long expiresAtMs() {
    return leaseAskedMs + LEASE_SHARING_MS + CLAIM_WINDOW_MS;
  }

  Transaction.Condition fenceCondition() {
    return new Transaction.Condition(fenceKey, fenceRevision);
  }

  /** Tells whether a refused transaction met another fence than the one known here. */
  boolean isFenceLost(List<KeyValueEntry> found) {
    return findFence(found).map(entry -> entry.modRevision() != fenceRevision).orElse(true);
  }

  /** Makes the next transaction open the session anew. */
  void close() {
    leaseId = 0;
    fenced = false;
  }

  /** Grants a lease and writes the fence, trying until both succeed. */
  void open(Runnable opened) {
    grantLease(1, opened);
  }

  /** Writes the fence, trying until that is certain. */
  void advanceFence(Runnable advanced) {
    fenced = false;
    fenceWrites++;
    writeFence(registryId + ":" + fenceWrites, 1, advanced);
  }

  private void grantLease(int attempt, Runnable opened) {
    fenced = false;
    long askedMs = loop.nowMs();
    long ttlSeconds = (LEASE_SHARING_MS + CLAIM_WINDOW_MS) / 1_000;
    loop.call(
        () -> keyValues.grantLease(ttlSeconds, askedMs + CALL_MS),
        (granted, failure) -> {
          if (failure != null) {
            LOG.warn("No lease for claims: {}", failure.getMessage());
            loop.runAfterBackoff(attempt, () -> grantLease(attempt + 1, opened));
            return;
          }
          leaseId = granted;
          leaseAskedMs = askedMs;
          advanceFence(opened);
        });
  }

  private void writeFence(String token, int attempt, Runnable advanced) {
    Transaction transaction =
        new Transaction(
            List.of(fenceCondition()),
            List.of(new Transaction.Put(fenceKey, token, leaseId)),
            List.of());
    loop.call(
        () -> keyValues.commit(transaction, loop.nowMs() + CALL_MS),
        (result, failure) -> {
          if (failure != null) {
            retryFence(token, attempt, advanced, failure);
            return;
          }
          onFenceAnswer(token, attempt, advanced, result);
        });
  }

  private void retryFence(String token, int attempt, Runnable advanced, KeyValueException failure) {
    LOG.warn("The fence of claims is not written: {}", failure.getMessage());
    if (attempt % FAILURES_PER_LEASE == 0) {
      loop.runAfterBackoff(attempt, () -> grantLease(attempt, advanced));
      return;
    }
    // The same token under the same condition: the writes take effect at most once together.
    loop.runAfterBackoff(attempt, () -> writeFence(token, attempt + 1, advanced));
  }

  private void onFenceAnswer(
      String token, int attempt, Runnable advanced, TransactionResult result) {
    if (result.applied()) {
      finishFence(result.revision(), advanced);
      return;
    }
    Optional<KeyValueEntry> found = findFence(result.found());
    if (found.isPresent() && found.get().value().equals(token)) {
      finishFence(found.get().modRevision(), advanced);
      return;
    }
    fenceRevision = found.map(KeyValueEntry::modRevision).orElse(0L);
    loop.runAfterBackoff(attempt, () -> writeFence(token, attempt + 1, advanced));
  }

  private void finishFence(long revision, Runnable advanced) {
    fenceRevision = revision;
    fenced = true;
    advanced.run();
  }

  private Optional<KeyValueEntry> findFence(List<KeyValueEntry> found) {
    return found.stream().filter(entry -> entry.key().equals(fenceKey)).findFirst();
  }
}
