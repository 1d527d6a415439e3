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

/**
 * In-memory {@link KeyValueService} that loses, delays and reorders calls as a test specifies. Not
 * thread-safe.
 */
public final class FakeKeyValueService implements KeyValueService {

  /** Schedules tasks. */
  public interface Timer {

    /**
     * Runs a task after a delay.
     *
     * @param delayMs the delay, in milliseconds
     * @param task the task
     */
    void after(long delayMs, Runnable task);
  }

  /**
   * Specifies the delays and faults of one call.
   *
   * @param down whether the service is unreachable, so that the call fails at once
   * @param requestDelayMs the delay before the call takes effect, in milliseconds
   * @param requestLost whether the request is lost, so that the call has no effect
   * @param responseDelayMs the delay of the response, in milliseconds
   * @param responseLost whether the response is lost
   */
  public record CallOutcome(
      boolean down,
      long requestDelayMs,
      boolean requestLost,
      long responseDelayMs,
      boolean responseLost) {

    public static final CallOutcome HEALTHY = new CallOutcome(false, 0, false, 0, false);
    public static final CallOutcome DOWN = new CallOutcome(true, 0, false, 0, false);
    public static final CallOutcome REQUEST_LOST = new CallOutcome(false, 0, true, 0, true);
    public static final CallOutcome RESPONSE_LOST = new CallOutcome(false, 0, false, 0, true);
  }

  private static final int MAX_OPERATIONS = 128;

  private final TreeMap<String, KeyValueEntry> entries = new TreeMap<>();
  private final Map<Long, Long> leaseExpiryMs = new HashMap<>();
  private final Timer timer;
  private final LongSupplier clock;
  private Supplier<CallOutcome> outcomes = () -> CallOutcome.HEALTHY;
  private long revision;
  private long calls;
  private long keysRead;

  /** Creates a service whose calls take as long as their outcomes specify. */
  public FakeKeyValueService(Timer timer, LongSupplier clock) {
    this.timer = timer;
    this.clock = clock;
  }

  /** Creates a service that completes every call synchronously. */
  public static FakeKeyValueService immediate() {
    return new FakeKeyValueService((delayMs, task) -> task.run(), () -> 0);
  }

  /** Sets the supplier of the outcome of each call. */
  public void setOutcomes(Supplier<CallOutcome> newFates) {
    outcomes = newFates;
  }

  /** Returns the number of calls made so far. */
  public long calls() {
    return calls;
  }

  /** Returns the number of keys requested by {@link #findAll} so far. */
  public long keysRead() {
    return keysRead;
  }

  /** Returns all entries, sorted by key. */
  public List<KeyValueEntry> entries() {
    return List.copyOf(entries.values());
  }

  /** Overwrites a value unconditionally, as data corruption would. */
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
    CallOutcome outcome = outcomes.get();
    if (outcome.down()) {
      return CompletableFuture.failedFuture(
          new KeyValueException(Verdict.NOT_RUN, "The key-value service is down", null));
    }
    CompletableFuture<T> answer = new CompletableFuture<>();
    if (!outcome.requestLost()) {
      timer.after(outcome.requestDelayMs(), () -> run(effect, outcome, answer));
    }
    Verdict verdict = writes ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    timer.after(
        Math.max(0, deadlineMs - clock.getAsLong()),
        () ->
            answer.completeExceptionally(
                new KeyValueException(
                    verdict, "No response from the key-value service by the deadline", null)));
    return answer;
  }

  private <T> void run(Supplier<T> effect, CallOutcome outcome, CompletableFuture<T> answer) {
    expireLeases();
    T value;
    try {
      value = effect.get();
    } catch (KeyValueException e) {
      answer.completeExceptionally(e);
      return;
    }
    if (!outcome.responseLost()) {
      timer.after(outcome.responseDelayMs(), () -> answer.complete(value));
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
      throw new KeyValueException(
          Verdict.NOT_RUN,
          "The transaction exceeds the limit of " + MAX_OPERATIONS + " operations",
          null);
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
      throw new KeyValueException(
          Verdict.NOT_RUN, "A lease of the transaction does not exist", null);
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
