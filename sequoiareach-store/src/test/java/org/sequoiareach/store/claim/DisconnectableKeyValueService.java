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

/**
 * Disconnects a crashed daemon from the key-value service. Calls that it has already sent may still
 * take effect.
 */
final class DisconnectableKeyValueService implements KeyValueService {
  private final KeyValueService store;
  private boolean disconnected;

  DisconnectableKeyValueService(KeyValueService store) {
    this.store = store;
  }

  void disconnect() {
    disconnected = true;
  }

  boolean isDisconnected() {
    return disconnected;
  }

  private <T> CompletableFuture<T> forward(Supplier<CompletableFuture<T>> call) {
    if (disconnected) {
      return new CompletableFuture<>();
    }
    CompletableFuture<T> forwarded = new CompletableFuture<>();
    call.get()
        .whenComplete(
            (value, error) -> {
              if (disconnected) {
                return;
              }
              if (error == null) {
                forwarded.complete(value);
              } else {
                forwarded.completeExceptionally((KeyValueException) error);
              }
            });
    return forwarded;
  }

  @Override
  public CompletableFuture<Optional<KeyValueEntry>> find(String key, long deadlineMs) {
    return forward(() -> store.find(key, deadlineMs));
  }

  @Override
  public CompletableFuture<List<KeyValueEntry>> findAll(List<String> keys, long deadlineMs) {
    return forward(() -> store.findAll(keys, deadlineMs));
  }

  @Override
  public CompletableFuture<List<KeyValueEntry>> list(String prefix, long deadlineMs) {
    return forward(() -> store.list(prefix, deadlineMs));
  }

  @Override
  public CompletableFuture<TransactionResult> commit(Transaction transaction, long deadlineMs) {
    return forward(() -> store.commit(transaction, deadlineMs));
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlSeconds, long deadlineMs) {
    return forward(() -> store.grantLease(ttlSeconds, deadlineMs));
  }

  @Override
  public CompletableFuture<Boolean> keepLeaseAlive(long leaseId, long deadlineMs) {
    return forward(() -> store.keepLeaseAlive(leaseId, deadlineMs));
  }

  @Override
  public CompletableFuture<Void> revokeLease(long leaseId, long deadlineMs) {
    return forward(() -> store.revokeLease(leaseId, deadlineMs));
  }

  @Override
  public CompletableFuture<Optional<KeyValueEntry>> watch(
      String key, long afterRevision, long deadlineMs) {
    return forward(() -> store.watch(key, afterRevision, deadlineMs));
  }
}
