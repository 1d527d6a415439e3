package org.sequoiareach.store.prefix;

import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.model.Check;
import org.sequoiareach.store.prefix.PrefixStoreException.Kind;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Watches the keys under a prefix by long polling, and reads all of them again when a call has
 * failed or the history has been discarded.
 *
 * <p>At most one call is in flight at a time. After a failure the next call is delayed by a bounded
 * exponential backoff. Thread-safe.
 */
public final class PrefixWatcher {

  private static final Logger LOGGER = LogManager.getLogger(PrefixWatcher.class);

  /** Allows for a slow store, which takes fifty times the usual few milliseconds. */
  private static final long CALL_TIMEOUT_MS = 1_000;

  private static final long INITIAL_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 400;

  private final PrefixStore store;
  private final String prefix;
  private final PrefixListener listener;
  private final ScheduledExecutorService timer;
  private final long waitMs;
  private Optional<Long> revision = Optional.empty();
  private long backoffMs = INITIAL_BACKOFF_MS;

  /**
   * Creates a watcher that is not started.
   *
   * @param store the store
   * @param prefix the prefix
   * @param waitMs the maximum time that one call waits for changes, in milliseconds
   * @param timer the single-threaded executor that runs the watcher
   * @param listener the listener to notify
   */
  public PrefixWatcher(
      PrefixStore store,
      String prefix,
      long waitMs,
      ScheduledExecutorService timer,
      PrefixListener listener) {
    this.store = Check.notNull(store, "store");
    this.prefix = Check.hasText(prefix, "prefix");
    this.waitMs = Check.inRange(waitMs, 1, 30_000, "waitMs");
    this.timer = Check.notNull(timer, "timer");
    this.listener = Check.notNull(listener, "listener");
  }

  /** Starts watching. */
  public void start() {
    timer.execute(this::readOrAwaitChanges);
  }

  private void readOrAwaitChanges() {
    if (revision.isEmpty()) {
      store
          .read(prefix, MonotonicClock.nowMs() + CALL_TIMEOUT_MS)
          .whenComplete((snapshot, error) -> execute(() -> onRead(snapshot, error)));
      return;
    }
    long waitUntilMs = MonotonicClock.nowMs() + waitMs;
    store
        .awaitChanges(prefix, revision.get(), waitUntilMs, waitUntilMs + CALL_TIMEOUT_MS)
        .whenComplete((changes, error) -> execute(() -> onChanges(changes, error)));
  }

  private void onRead(PrefixSnapshot snapshot, Throwable error) {
    if (error != null) {
      handleFailure(error);
      return;
    }
    handleSuccess();
    listener.onSnapshot(snapshot);
    revision = Optional.of(snapshot.revision());
    readOrAwaitChanges();
  }

  private void onChanges(PrefixChanges changes, Throwable error) {
    if (error != null) {
      handleFailure(error);
      return;
    }
    handleSuccess();
    long known = revision.orElse(0L);
    if (StorePosition.eraOf(changes.revision()) != StorePosition.eraOf(known)) {
      // Revisions were given out again, so changes may be missing between the two.
      LOGGER.info(
          "The store was restored from {} to {}; reading all keys under prefix {} again",
          StorePosition.format(known),
          StorePosition.format(changes.revision()),
          prefix);
      revision = Optional.empty();
      readOrAwaitChanges();
      return;
    }
    if (!changes.changes().isEmpty()) {
      listener.onChanges(changes.changes());
    }
    revision = Optional.of(Math.max(known, changes.revision()));
    readOrAwaitChanges();
  }

  private void handleSuccess() {
    backoffMs = INITIAL_BACKOFF_MS;
    listener.onCallCompleted(true, "");
  }

  private void handleFailure(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    // A store that has discarded its history may accept a watch that it cannot serve.
    revision = Optional.empty();
    if (cause instanceof PrefixStoreException e && e.kind() == Kind.HISTORY_GONE) {
      LOGGER.info(
          "The store discarded the history of prefix {}; reading all its keys again", prefix);
      readOrAwaitChanges();
      return;
    }
    listener.onCallCompleted(false, String.valueOf(cause.getMessage()));
    timer.schedule(this::readOrAwaitChanges, backoffMs, TimeUnit.MILLISECONDS);
    backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
  }

  private void execute(Runnable task) {
    try {
      timer.execute(
          () -> {
            try {
              task.run();
            } catch (RuntimeException | StackOverflowError e) {
              LOGGER.error("Failed to process the keys under prefix {}", prefix, e);
              revision = Optional.empty();
              timer.schedule(this::readOrAwaitChanges, MAX_BACKOFF_MS, TimeUnit.MILLISECONDS);
            }
          });
    } catch (RejectedExecutionException e) {
      LOGGER.debug("Stopped watching prefix {}: its executor has been shut down", prefix);
    }
  }
}
