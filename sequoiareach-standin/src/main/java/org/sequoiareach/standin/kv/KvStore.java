package org.sequoiareach.standin.kv;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Stores keys, revisions, leases and watches in memory.
 *
 * <p>Methods that take the current time, in milliseconds, first revoke the leases that have expired
 * by then. Thread-safe; watch listeners are called while the lock is held.
 */
final class KvStore {

  private static final int MAX_HISTORY = 100_000;

  private final NavigableMap<String, KeyValue> entries = new TreeMap<>();
  private final LeaseTable leases = new LeaseTable();
  private final TreeMap<Long, List<KvEvent>> history = new TreeMap<>();
  private final Set<Watch> watches = new HashSet<>();
  private List<KvEvent> uncommitted = new ArrayList<>();
  private long revision = 1;

  synchronized TxnResult commit(Txn txn, long nowMs) {
    expireLeases(nowMs);
    boolean succeeded = txn.comparisons().stream().allMatch(this::holds);
    List<Operation> chosen = succeeded ? txn.success() : txn.failure();
    validate(chosen);
    List<OperationResult> results = new ArrayList<>();
    chosen.forEach(operation -> results.add(apply(operation)));
    publish();
    return new TxnResult(revision, succeeded, results);
  }

  synchronized long grantLease(long id, long ttlSeconds, long nowMs) {
    expireLeases(nowMs);
    return leases.grant(id, ttlSeconds, nowMs);
  }

  synchronized long keepLeaseAlive(long id, long nowMs) {
    expireLeases(nowMs);
    return leases.keepAlive(id, nowMs);
  }

  synchronized void revokeLease(long id, long nowMs) {
    expireLeases(nowMs);
    deleteKeys(leases.revoke(id));
  }

  synchronized void expireLeases(long nowMs) {
    leases.expired(nowMs).forEach(id -> deleteKeys(leases.revoke(id)));
  }

  /**
   * Starts a watch.
   *
   * @param fromRevision the first revision to report, including past ones; 0 for only new changes
   * @return a handle that closes the watch
   * @throws KvApiException if the requested revision is no longer retained
   */
  synchronized Runnable watch(KeyRange range, long fromRevision, Consumer<WatchBatch> listener) {
    if (fromRevision > 0 && !history.isEmpty() && fromRevision < history.firstKey()) {
      if (history.firstKey() > 2) {
        throw new KvApiException(
            KvApiException.Kind.FAILED_PRECONDITION, "mvcc: required revision has been compacted");
      }
    }
    Watch watch = new Watch(range, fromRevision, listener);
    if (fromRevision > 0) {
      history.tailMap(fromRevision, true).forEach(watch::notifyListener);
    }
    watches.add(watch);
    return () -> removeWatch(watch);
  }

  synchronized long revision() {
    return revision;
  }

  synchronized int keyCount() {
    return entries.size();
  }

  synchronized int leaseCount() {
    return leases.size();
  }

  synchronized int watchCount() {
    return watches.size();
  }

  private synchronized void removeWatch(Watch watch) {
    watches.remove(watch);
  }

  private boolean holds(TxnComparison comparison) {
    if (comparison.range().isSingleKey()) {
      return comparison.holds(Optional.ofNullable(entries.get(comparison.range().key())));
    }
    return find(comparison.range()).stream()
        .allMatch(entry -> comparison.holds(Optional.of(entry)));
  }

  private void validate(List<Operation> operations) {
    Set<String> written = new HashSet<>();
    for (Operation operation : operations) {
      if (operation instanceof Operation.Put put) {
        leases.requireExists(put.lease());
        if (!written.add(put.key())) {
          throw new KvApiException(
              KvApiException.Kind.INVALID_ARGUMENT, "duplicate key given in txn request");
        }
      }
    }
  }

  private OperationResult apply(Operation operation) {
    if (operation instanceof Operation.Put put) {
      return put(put);
    }
    if (operation instanceof Operation.Delete delete) {
      List<KeyValue> deleted = find(delete.range());
      deleted.forEach(this::delete);
      return new OperationResult.Delete(deleted, delete.previous());
    }
    return range((Operation.Range) operation);
  }

  private OperationResult range(Operation.Range operation) {
    List<KeyValue> found = find(operation.range());
    long count = found.size();
    if (operation.countOnly()) {
      return new OperationResult.Range(List.of(), false, count);
    }
    boolean more = operation.limit() > 0 && count > operation.limit();
    List<KeyValue> returned = more ? found.subList(0, (int) operation.limit()) : found;
    if (operation.keysOnly()) {
      returned = returned.stream().map(KvStore::withoutValue).toList();
    }
    return new OperationResult.Range(List.copyOf(returned), more, count);
  }

  private OperationResult put(Operation.Put put) {
    Optional<KeyValue> previous = Optional.ofNullable(entries.get(put.key()));
    previous.ifPresent(entry -> leases.detach(entry.lease(), entry.key()));
    long next = revision + 1;
    KeyValue entry =
        new KeyValue(
            put.key(),
            put.value(),
            previous.map(KeyValue::createRevision).orElse(next),
            next,
            previous.map(KeyValue::version).orElse(0L) + 1,
            put.lease());
    entries.put(put.key(), entry);
    leases.attach(put.lease(), put.key());
    uncommitted.add(new KvEvent(false, entry));
    return new OperationResult.Put(put.previous() ? previous : Optional.empty());
  }

  private void delete(KeyValue entry) {
    entries.remove(entry.key());
    leases.detach(entry.lease(), entry.key());
    KeyValue tombstone = new KeyValue(entry.key(), "", 0, revision + 1, 0, 0);
    uncommitted.add(new KvEvent(true, tombstone));
  }

  private void deleteKeys(Set<String> keys) {
    for (String key : Set.copyOf(keys)) {
      Optional.ofNullable(entries.get(key)).ifPresent(this::delete);
    }
    publish();
  }

  /** Commits the changes as one revision and notifies the watches. */
  private void publish() {
    if (uncommitted.isEmpty()) {
      return;
    }
    revision++;
    List<KvEvent> events = List.copyOf(uncommitted);
    uncommitted = new ArrayList<>();
    history.put(revision, events);
    if (history.size() > MAX_HISTORY) {
      history.pollFirstEntry();
    }
    for (Watch watch : List.copyOf(watches)) {
      watch.notifyListener(revision, events);
    }
  }

  private List<KeyValue> find(KeyRange range) {
    if (range.isSingleKey()) {
      return Optional.ofNullable(entries.get(range.key())).map(List::of).orElse(List.of());
    }
    if (!range.isUnbounded() && range.end().compareTo(range.key()) <= 0) {
      return List.of();
    }
    NavigableMap<String, KeyValue> from = entries.tailMap(range.key(), true);
    return List.copyOf((range.isUnbounded() ? from : from.headMap(range.end(), false)).values());
  }

  private static KeyValue withoutValue(KeyValue entry) {
    return new KeyValue(
        entry.key(),
        "",
        entry.createRevision(),
        entry.modRevision(),
        entry.version(),
        entry.lease());
  }

  /** Holds the changes of one revision that match a watch. */
  record WatchBatch(long revision, List<KvEvent> events) {}

  private record Watch(KeyRange range, long fromRevision, Consumer<WatchBatch> listener) {

    private void notifyListener(long revision, List<KvEvent> events) {
      List<KvEvent> matching =
          events.stream().filter(event -> range.contains(event.entry().key())).toList();
      if (revision >= fromRevision && !matching.isEmpty()) {
        listener.accept(new WatchBatch(revision, matching));
      }
    }
  }
}
