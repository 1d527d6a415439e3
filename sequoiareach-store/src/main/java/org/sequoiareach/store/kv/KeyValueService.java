package org.sequoiareach.store.kv;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's key-value service. Implementations are thread-safe.
 *
 * <p>Futures fail with {@link KeyValueException}, whose verdict tells whether the call may have
 * taken effect. Implementations do not retry calls.
 */
public interface KeyValueService {

  /** Maximum number of keys per read, from the service's limit of operations per transaction. */
  int MAX_KEYS_PER_READ = 128;

  /**
   * Reads one key. Reads are linearizable.
   *
   * @param key the key
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future of the entry, or empty if there is none
   */
  CompletableFuture<Optional<KeyValueEntry>> find(String key, long deadlineMs);

  /**
   * Reads several keys, at most {@value #MAX_KEYS_PER_READ}, at a single revision.
   *
   * @param keys the keys
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future of the entries of those keys that exist, in no particular order
   */
  CompletableFuture<List<KeyValueEntry>> findAll(List<String> keys, long deadlineMs);

  /**
   * Reads all keys that start with a prefix.
   *
   * @param prefix the prefix
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future of the entries, sorted by key
   */
  CompletableFuture<List<KeyValueEntry>> list(String prefix, long deadlineMs);

  /**
   * Applies all writes of a transaction atomically if all its conditions hold, else none.
   *
   * @param transaction the conditions and writes
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future of the result, which contains the entries found if a condition did not hold
   */
  CompletableFuture<TransactionResult> commit(Transaction transaction, long deadlineMs);

  /**
   * Grants a lease.
   *
   * @param ttlSeconds the time to live of the lease, in seconds, unless it is renewed
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future of the id of the lease
   */
  CompletableFuture<Long> grantLease(long ttlSeconds, long deadlineMs);

  /**
   * Renews a lease for its full time to live.
   *
   * @param leaseId the id of the lease
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future of whether the lease still existed
   */
  CompletableFuture<Boolean> keepLeaseAlive(long leaseId, long deadlineMs);

  /**
   * Revokes a lease, which deletes the keys bound to it.
   *
   * @param leaseId the id of the lease
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future that is completed when the lease is revoked
   */
  CompletableFuture<Void> revokeLease(long leaseId, long deadlineMs);

  /**
   * Waits for the next change of a key. A watch counts as one call against the rate limit.
   *
   * @param key the key
   * @param afterRevision the revision after which a change is reported
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future of the new entry, or empty if the key was deleted or the deadline passed
   *     without a change
   */
  CompletableFuture<Optional<KeyValueEntry>> watch(String key, long afterRevision, long deadlineMs);
}
