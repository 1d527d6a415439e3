package org.sequoiareach.store.kv;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Reads and writes the platform's key-value service. Thread-safe.
 *
 * <p>Every future fails with {@link KeyValueException}, whose verdict says whether the call may
 * have taken effect. No call is repeated by an implementation.
 */
public interface KeyValueService {

  /** The most keys of one read; the service bounds the operations of a transaction. */
  int MAX_KEYS_PER_READ = 128;

  /**
   * Reads one key. The read is linearizable.
   *
   * @param key the key
   * @param deadlineMs when to give up, in milliseconds of {@code System.nanoTime()}
   * @return the entry, or empty if there is none
   */
  CompletableFuture<Optional<KeyValueEntry>> find(String key, long deadlineMs);

  /**
   * Reads several keys, at most {@value #MAX_KEYS_PER_READ}, as they were at one moment.
   *
   * @param keys the keys
   * @param deadlineMs when to give up
   * @return the entries of those keys that exist, in no certain order
   */
  CompletableFuture<List<KeyValueEntry>> findAll(List<String> keys, long deadlineMs);

  /**
   * Reads all keys that start with a prefix, in the order of the keys.
   *
   * @param prefix the prefix
   * @param deadlineMs when to give up
   * @return the entries
   */
  CompletableFuture<List<KeyValueEntry>> list(String prefix, long deadlineMs);

  /**
   * Applies all writes of a transaction if all its conditions hold, else none.
   *
   * @param transaction the conditions and writes
   * @param deadlineMs when to give up
   * @return the result; where the conditions did not hold it carries the entries found instead
   */
  CompletableFuture<TransactionResult> commit(Transaction transaction, long deadlineMs);

  /**
   * Grants a lease.
   *
   * @param ttlSeconds seconds until the lease expires unless it is kept alive
   * @param deadlineMs when to give up
   * @return the identity of the lease
   */
  CompletableFuture<Long> grantLease(long ttlSeconds, long deadlineMs);

  /**
   * Keeps a lease alive for another period of its time to live.
   *
   * @param leaseId the lease
   * @param deadlineMs when to give up
   * @return true if the lease was still alive
   */
  CompletableFuture<Boolean> keepLeaseAlive(long leaseId, long deadlineMs);

  /**
   * Revokes a lease and deletes its keys.
   *
   * @param leaseId the lease
   * @param deadlineMs when to give up
   * @return completed when done
   */
  CompletableFuture<Void> revokeLease(long leaseId, long deadlineMs);

  /**
   * Waits for a change of a key. A waiting watch counts as one call of the service's rate.
   *
   * @param key the key
   * @param afterRevision the revision after which a change counts
   * @param deadlineMs when to give up
   * @return the new entry, or empty if the key was deleted or the deadline passed without a change
   */
  CompletableFuture<Optional<KeyValueEntry>> watch(String key, long afterRevision, long deadlineMs);
}
