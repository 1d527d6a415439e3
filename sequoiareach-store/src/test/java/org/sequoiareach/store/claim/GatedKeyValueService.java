package org.sequoiareach.store.claim;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sequoiareach.store.kv.KeyValueEntry;
import org.sequoiareach.store.kv.KeyValueException;
import org.sequoiareach.store.kv.KeyValueService;
import org.sequoiareach.store.kv.Transaction;
import org.sequoiareach.store.kv.TransactionResult;

/** Cuts a crashed daemon off; what it has sent may still take effect. */
final class GatedKeyValueService implements KeyValueService {
  private final KeyValueService store;
  private boolean closed;

  GatedKeyValueService(KeyValueService store) {
    this.store = store;
  }

  void close() {
    closed = true;
  }

  boolean isClosed() {
    return closed;
  }

  private <T> CompletableFuture<T> pass(Supplier<CompletableFuture<T>> call) {
    if (closed) {
      return new CompletableFuture<>();
    }
    CompletableFuture<T> passed = new CompletableFuture<>();
    call.get()
        .whenComplete(
            (value, error) -> {
              if (closed) {
                return;
              }
              if (error == null) {
                passed.complete(value);
              } else {
                passed.completeExceptionally((KeyValueException) error);
              }
            });
    return passed;
  }

  @Override
  public CompletableFuture<Optional<KeyValueEntry>> find(String key, long deadlineMs) {
    return pass(() -> store.find(key, deadlineMs));
  }

  @Override
  public CompletableFuture<List<KeyValueEntry>> findAll(List<String> keys, long deadlineMs) {
    return pass(() -> store.findAll(keys, deadlineMs));
  }

  @Override
  public CompletableFuture<List<KeyValueEntry>> list(String prefix, long deadlineMs) {
    return pass(() -> store.list(prefix, deadlineMs));
  }

  @Override
  public CompletableFuture<TransactionResult> commit(Transaction transaction, long deadlineMs) {
    return pass(() -> store.commit(transaction, deadlineMs));
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlSeconds, long deadlineMs) {
    return pass(() -> store.grantLease(ttlSeconds, deadlineMs));
  }

  @Override
  public CompletableFuture<Boolean> keepLeaseAlive(long leaseId, long deadlineMs) {
    return pass(() -> store.keepLeaseAlive(leaseId, deadlineMs));
  }

  @Override
  public CompletableFuture<Void> revokeLease(long leaseId, long deadlineMs) {
    return pass(() -> store.revokeLease(leaseId, deadlineMs));
  }

  @Override
  public CompletableFuture<Optional<KeyValueEntry>> watch(
      String key, long afterRevision, long deadlineMs) {
    return pass(() -> store.watch(key, afterRevision, deadlineMs));
  }
}
