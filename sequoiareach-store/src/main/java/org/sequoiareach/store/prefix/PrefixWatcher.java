package org.sequoiareach.store.prefix;

import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.StorePosition;
import org.sequoiareach.store.prefix.PrefixStoreException.Kind;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Reads the keys under a prefix, once or by watching them: a watch is a long poll, and all keys are
 * read again when a call has failed or the history has been discarded.
 *
 * <p>At most one call is in use at a time. After a failure a watch is delayed by a bounded
 * exponential backoff, while a single read is not repeated. Thread-safe.
 */
public final class PrefixWatcher {

  private static final Logger LOGGER = LogManager.getLogger(PrefixWatcher.class);

  /** Allows for a slow store, which takes fifty times the usual few milliseconds. */
  private static final long CALL_TIMEOUT_MS = 1_000;

  private static final long INITIAL_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 400;

  /** What the call in use is. */
  private enum Call {
    NONE,
    READ,
    WATCH,
    BACKOFF
  }

  private final PrefixStore store;
  private final String prefix;
  private final PrefixListener listener;
  private final ScheduledExecutorService timer;
  private Optional<Long> revision = Optional.empty();
  private long backoffMs = INITIAL_BACKOFF_MS;
  private Call call = Call.NONE;
  private long callNumber;
  private boolean watching;
  private long pollMs;

  /**
   * Creates a watcher that makes no calls yet.
   *
   * @param store the store
   * @param prefix the prefix
   * @param timer the single-threaded executor that runs the watcher
   * @param listener the listener to notify
   */
  public PrefixWatcher(
      PrefixStore store, String prefix, ScheduledExecutorService timer, PrefixListener listener) {
    this.store = Check.notNull(store, "store");
    this.prefix = Check.hasText(prefix, "prefix");
    this.timer = Check.notNull(timer, "timer");
    this.listener = Check.notNull(listener, "listener");
  }

  /**
   * Reads all keys and watches them from then on. A watcher that does so already keeps its call.
   *
   * @param maxWaitMs the maximum time that one call waits for changes, in milliseconds
   */
  public void watch(long maxWaitMs) {
    Check.inRange(maxWaitMs, 1, 30_000, "maxWaitMs");
    submit(
        () -> {
          pollMs = maxWaitMs;
          if (watching) {
            return;
          }
          watching = true;
          if (call != Call.READ) {
            readAll();
          }
        });
  }

  /** Reads all keys once, unless they are being read. Ends a watch. */
  public void readOnce() {
    submit(
        () -> {
          watching = false;
          if (call != Call.READ) {
            readAll();
          }
        });
  }

  /** Makes no further calls. The response of the call in use is still reported. */
  public void stop() {
    submit(() -> watching = false);
  }

  private void readAll() {
    revision = Optional.empty();
    startCall();
  }

  /** Starts the next call; the response of an earlier one is ignored from now on. */
  private void startCall() {
    callNumber++;
    final long number = callNumber;
    final long startedMs = MonotonicClock.nowMs();
    if (revision.isEmpty()) {
      call = Call.READ;
      store
          .read(prefix, startedMs + CALL_TIMEOUT_MS)
          .whenComplete(
              (snapshot, error) -> execute(number, () -> onRead(startedMs, snapshot, error)));
      return;
    }
    call = Call.WATCH;
    long waitUntilMs = startedMs + pollMs;
    store
        .awaitChanges(prefix, revision.get(), waitUntilMs, waitUntilMs + CALL_TIMEOUT_MS)
        .whenComplete(
            (changes, error) ->
                execute(number, () -> onChanges(startedMs, waitUntilMs, changes, error)));
  }

  private void continueWatching() {
    call = Call.NONE;
    if (watching) {
      startCall();
    }
  }

  private void onRead(long startedMs, PrefixSnapshot snapshot, Throwable error) {
    if (error != null) {
      handleFailure(error);
      return;
    }
    handleSuccess();
    listener.onSnapshot(snapshot);
    listener.onCurrent(startedMs);
    revision = Optional.of(snapshot.revision());
    continueWatching();
  }

  private void onChanges(long startedMs, long waitUntilMs, PrefixChanges changes, Throwable error) {
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
      readAll();
      return;
    }
    if (!changes.changes().isEmpty()) {
      listener.onChanges(changes.changes());
    }
    boolean waitedInVain = changes.changes().isEmpty() && MonotonicClock.nowMs() >= waitUntilMs;
    listener.onCurrent(waitedInVain ? waitUntilMs : startedMs);
    revision = Optional.of(Math.max(known, changes.revision()));
    continueWatching();
  }

  private void handleSuccess() {
    backoffMs = INITIAL_BACKOFF_MS;
    listener.onCallCompleted(true, "");
  }

  private void handleFailure(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    call = Call.NONE;
    // A store that has discarded its history may accept a watch that it cannot serve.
    revision = Optional.empty();
    if (cause instanceof PrefixStoreException e && e.kind() == Kind.HISTORY_GONE) {
      LOGGER.info(
          "The store discarded the history of prefix {}; reading all its keys again", prefix);
      readAll();
      return;
    }
    listener.onCallCompleted(false, String.valueOf(cause.getMessage()));
    if (watching) {
      scheduleRead(backoffMs);
      backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }
  }

  private void scheduleRead(long delayMs) {
    call = Call.BACKOFF;
    callNumber++;
    final long number = callNumber;
    timer.schedule(
        () -> {
          if (number == callNumber) {
            continueWatching();
          }
        },
        delayMs,
        TimeUnit.MILLISECONDS);
  }

  /** Processes the response of a call, unless another call was started meanwhile. */
  private void execute(long number, Runnable task) {
    submit(
        () -> {
          if (number != callNumber) {
            return;
          }
          try {
            task.run();
          } catch (RuntimeException | StackOverflowError e) {
            LOGGER.error("Failed to process the keys under prefix {}", prefix, e);
            revision = Optional.empty();
            scheduleRead(MAX_BACKOFF_MS);
          }
        });
  }

  private void submit(Runnable task) {
    try {
      timer.execute(task);
    } catch (RejectedExecutionException e) {
      LOGGER.debug("Stopped watching prefix {}: its executor has been shut down", prefix);
    }
  }
}
