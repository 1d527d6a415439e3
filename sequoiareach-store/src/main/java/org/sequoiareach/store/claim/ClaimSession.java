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
 * Maintains the lease that claims are bound to and the fence that they are conditional on. Confined
 * to the event loop.
 *
 * <p>The fence is a key that only this registry writes. Every transaction that writes claims
 * requires the fence to be at the revision last seen here. After the fence has been rewritten, an
 * earlier transaction can no longer take effect, however long it was delayed, so a read of its keys
 * is final.
 */
final class ClaimSession {

  /** Minimum lifetime of a claim, much longer than callers keep retrying. */
  static final long MIN_CLAIM_TTL_MS = Duration.ofHours(24).toMillis();

  /** Period during which new claims are bound to the same lease. */
  static final long LEASE_REUSE_MS = Duration.ofHours(1).toMillis();

  /** Timeout of one call to the key-value service. */
  static final long CALL_TIMEOUT_MS = 1_000;

  private static final Logger LOG = LogManager.getLogger(ClaimSession.class);

  /** Consecutive failures after which a new lease is granted, as the old one may be gone. */
  private static final int FAILURES_BEFORE_NEW_LEASE = 3;

  private final KeyValueService keyValues;
  private final ClaimEventLoop loop;
  private final String registryId;
  private final String fenceKey;
  private long leaseId;
  private long leaseRequestedMs;
  private long fenceRevision;
  private long fenceWrites;
  private boolean fenceValid;

  ClaimSession(KeyValueService keyValues, ClaimEventLoop loop, String registryId) {
    this.keyValues = keyValues;
    this.loop = loop;
    this.registryId = registryId;
    this.fenceKey = ClaimKeys.fence(registryId);
  }

  boolean isOpen() {
    return fenceValid && leaseId != 0 && loop.nowMs() - leaseRequestedMs < LEASE_REUSE_MS;
  }

  long leaseId() {
    return leaseId;
  }

  long expiresAtMs() {
    return leaseRequestedMs + LEASE_REUSE_MS + MIN_CLAIM_TTL_MS;
  }

  Transaction.Condition fenceCondition() {
    return new Transaction.Condition(fenceKey, fenceRevision);
  }

  /** Returns whether the entries found by a rejected transaction lack the expected fence. */
  boolean isFenceLost(List<KeyValueEntry> found) {
    return findFence(found).map(entry -> entry.modRevision() != fenceRevision).orElse(true);
  }

  /** Invalidates the lease and the fence, so that the next transaction reopens the session. */
  void close() {
    leaseId = 0;
    fenceValid = false;
  }

  /** Grants a lease and writes the fence, retrying until both succeed. */
  void open(Runnable opened) {
    grantLease(1, opened);
  }

  /** Rewrites the fence, retrying until the write is known to have taken effect. */
  void advanceFence(Runnable advanced) {
    fenceValid = false;
    fenceWrites++;
    writeFence(registryId + ":" + fenceWrites, 1, advanced);
  }

  private void grantLease(int attempt, Runnable opened) {
    fenceValid = false;
    long requestedMs = loop.nowMs();
    long ttlSeconds = (LEASE_REUSE_MS + MIN_CLAIM_TTL_MS) / 1_000;
    loop.call(
        () -> keyValues.grantLease(ttlSeconds, requestedMs + CALL_TIMEOUT_MS),
        (granted, failure) -> {
          if (failure != null) {
            LOG.warn("Failed to grant a lease for claims, will retry: {}", failure.getMessage());
            loop.runAfterBackoff(attempt, () -> grantLease(attempt + 1, opened));
            return;
          }
          leaseId = granted;
          leaseRequestedMs = requestedMs;
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
        () -> keyValues.commit(transaction, loop.nowMs() + CALL_TIMEOUT_MS),
        (result, failure) -> {
          if (failure != null) {
            retryFence(token, attempt, advanced, failure);
            return;
          }
          onFenceResult(token, attempt, advanced, result);
        });
  }

  private void retryFence(String token, int attempt, Runnable advanced, KeyValueException failure) {
    LOG.warn("Failed to write the fence of claims, will retry: {}", failure.getMessage());
    if (attempt % FAILURES_BEFORE_NEW_LEASE == 0) {
      loop.runAfterBackoff(attempt, () -> grantLease(attempt, advanced));
      return;
    }
    // Token and condition are unchanged, so all attempts together take effect at most once.
    loop.runAfterBackoff(attempt, () -> writeFence(token, attempt + 1, advanced));
  }

  private void onFenceResult(
      String token, int attempt, Runnable advanced, TransactionResult result) {
    if (result.applied()) {
      completeFence(result.revision(), advanced);
      return;
    }
    Optional<KeyValueEntry> found = findFence(result.found());
    if (found.isPresent() && found.get().value().equals(token)) {
      completeFence(found.get().modRevision(), advanced);
      return;
    }
    fenceRevision = found.map(KeyValueEntry::modRevision).orElse(0L);
    loop.runAfterBackoff(attempt, () -> writeFence(token, attempt + 1, advanced));
  }

  private void completeFence(long revision, Runnable advanced) {
    fenceRevision = revision;
    fenceValid = true;
    advanced.run();
  }

  private Optional<KeyValueEntry> findFence(List<KeyValueEntry> found) {
    return found.stream().filter(entry -> entry.key().equals(fenceKey)).findFirst();
  }
}
