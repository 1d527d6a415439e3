package org.sequoiareach.store.kv;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.sequoiareach.model.request.Verdict;

/** Keeps entries in memory and loses, delays and reorders calls as it is told. One thread only. */
public final class FakeKeyValueService implements KeyValueService {

  /** Runs a task after a delay. */
  public interface Timer {

    /**
     * Runs a task.
     *
     * @param delayMs the delay
     * @param task the task
     */
    void after(long delayMs, Runnable task);
  }

  /**
   * Says what becomes of one call.
   *
   * @param down whether the service can't be reached
   * @param requestMs how long the request takes to its effect
   * @param requestLost whether it has no effect
   * @param answerMs how long the answer takes
   * @param answerLost whether there is no answer
   */
  public record Fate(
      boolean down, long requestMs, boolean requestLost, long answerMs, boolean answerLost) {

    public static final Fate FINE = new Fate(false, 0, false, 0, false);
    public static final Fate DOWN = new Fate(true, 0, false, 0, false);
    public static final Fate LOST_BEFORE = new Fate(false, 0, true, 0, true);
    public static final Fate LOST_AFTER = new Fate(false, 0, false, 0, true);
  }

  private static final int MAX_OPERATIONS = 128;

  private final TreeMap<String, KeyValueEntry> entries = new TreeMap<>();
  private final Map<Long, Long> leaseExpiryMs = new HashMap<>();
  private final Timer timer;
  private final LongSupplier clock;
  private Supplier<Fate> fates = () -> Fate.FINE;
  private long revision;
  private long calls;
  private long keysRead;

  /** Creates a service whose calls take the time of their fates. */
  public FakeKeyValueService(Timer timer, LongSupplier clock) {
    this.timer = timer;
    this.clock = clock;
  }

  /** Creates a service that answers, or fails, within each call. */
  public static FakeKeyValueService immediate() {
    return new FakeKeyValueService((delayMs, task) -> task.run(), () -> 0);
  }

  /** Sets what draws the fate of each call. */
  public void setFates(Supplier<Fate> newFates) {
    fates = newFates;
  }

  /** Returns how many calls were made. */
  public long calls() {
    return calls;
  }

  /** Returns how many keys were asked for by reads of several keys. */
  public long keysRead() {
    return keysRead;
  }

  /** Returns all entries in the order of their keys. */
  public List<KeyValueEntry> entries() {
    return List.copyOf(entries.values());
  }

  /** Writes a value past all conditions. */
  public void corrupt(String key, String value) {
    put(new Transaction.Put(key, value, 0), ++revision);
  }

  @Override
  public CompletableFuture<Optional<KeyValueEntry>> find(String key, long deadlineMs) {
    return call(false, deadlineMs, () -> Optional.ofNullable(entries.get(key)));
  }

  @Override
  public CompletableFuture<List<KeyValueEntry>> findAll(List<String> keys, long deadlineMs) {
    keysRead += keys.size();
    return call(false, deadlineMs, () -> present(keys));
  }

  @Override
  public CompletableFuture<List<KeyValueEntry>> list(String prefix, long deadlineMs) {
    return call(
        false,
        deadlineMs,
        () -> entries().stream().filter(entry -> entry.key().startsWith(prefix)).toList());
  }

  @Override
  public CompletableFuture<TransactionResult> commit(Transaction transaction, long deadlineMs) {
    return call(true, deadlineMs, () -> apply(transaction));
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlSeconds, long deadlineMs) {
    return call(
        true,
        deadlineMs,
        () -> {
          long id = leaseExpiryMs.size() + 1L;
          leaseExpiryMs.put(id, clock.getAsLong() + ttlSeconds * 1_000);
          return id;
        });
  }

  @Override
  public CompletableFuture<Boolean> keepLeaseAlive(long leaseId, long deadlineMs) {
    return call(true, deadlineMs, () -> leaseExpiryMs.containsKey(leaseId));
  }

  @Override
  public CompletableFuture<Void> revokeLease(long leaseId, long deadlineMs) {
    return call(
        true,
        deadlineMs,
        () -> {
          leaseExpiryMs.put(leaseId, Long.MIN_VALUE);
          return null;
        });
  }

  @Override
  public CompletableFuture<Optional<KeyValueEntry>> watch(
      String key, long afterRevision, long deadlineMs) {
    return find(key, deadlineMs);
  }

  private <T> CompletableFuture<T> call(boolean writes, long deadlineMs, Supplier<T> effect) {
    calls++;
    Fate fate = fates.get();
    if (fate.down()) {
      return CompletableFuture.failedFuture(
          new KeyValueException(Verdict.NOT_RUN, "The service is down.", null));
    }
    CompletableFuture<T> answer = new CompletableFuture<>();
    if (!fate.requestLost()) {
      timer.after(fate.requestMs(), () -> run(effect, fate, answer));
    }
    Verdict verdict = writes ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    timer.after(
        Math.max(0, deadlineMs - clock.getAsLong()),
        () -> answer.completeExceptionally(new KeyValueException(verdict, "No answer.", null)));
    return answer;
  }

  private <T> void run(Supplier<T> effect, Fate fate, CompletableFuture<T> answer) {
    expireLeases();
    T value;
    try {
      value = effect.get();
    } catch (KeyValueException e) {
      answer.completeExceptionally(e);
      return;
    }
    if (!fate.answerLost()) {
      timer.after(fate.answerMs(), () -> answer.complete(value));
    }
  }

  private void expireLeases() {
    entries.values().removeIf(entry -> entry.leaseId() != 0 && !isLeaseAlive(entry.leaseId()));
  }

  private boolean isLeaseAlive(long leaseId) {
    return leaseExpiryMs.getOrDefault(leaseId, Long.MIN_VALUE) > clock.getAsLong();
  }

  private TransactionResult apply(Transaction transaction) {
    int writes = transaction.puts().size() + transaction.deletes().size();
    if (Math.max(writes, transaction.conditions().size()) > MAX_OPERATIONS) {
      throw new KeyValueException(Verdict.NOT_RUN, "Too many operations.", null);
    }
    List<String> keys =
        transaction.conditions().stream().map(Transaction.Condition::key).distinct().toList();
    for (Transaction.Condition condition : transaction.conditions()) {
      KeyValueEntry entry = entries.get(condition.key());
      if ((entry == null ? 0 : entry.modRevision()) != condition.modRevision()) {
        return new TransactionResult(false, revision, present(keys));
      }
    }
    if (transaction.puts().stream().anyMatch(put -> put.leaseId() != 0 && isGone(put))) {
      throw new KeyValueException(Verdict.NOT_RUN, "Lease not found.", null);
    }
    revision++;
    transaction.puts().forEach(put -> put(put, revision));
    transaction.deletes().forEach(entries::remove);
    return new TransactionResult(true, revision, List.of());
  }

  private boolean isGone(Transaction.Put put) {
    return !isLeaseAlive(put.leaseId());
  }

  private void put(Transaction.Put put, long atRevision) {
    KeyValueEntry old = entries.get(put.key());
    long created = old == null ? atRevision : old.createRevision();
    entries.put(
        put.key(), new KeyValueEntry(put.key(), put.value(), created, atRevision, put.leaseId()));
  }

  private List<KeyValueEntry> present(List<String> keys) {
    List<KeyValueEntry> found = new ArrayList<>();
    for (String key : keys) {
      Optional.ofNullable(entries.get(key)).ifPresent(found::add);
    }
    return found;
  }
}
