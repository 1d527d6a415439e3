package org.sequoiareach.store.prefix;

import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
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
 * <p>At most one call is in use at a time. The connection of a lost answer may stay open and
 * silent, so a watch whose answer is late is given up, and all keys are read at once on another
 * connection. After any other failure a watch is delayed by a bounded exponential backoff, while a
 * single read is not repeated. Thread-safe.
 */
public final class PrefixWatcher {

  private static final Logger LOGGER = LogManager.getLogger(PrefixWatcher.class);

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
  private final LongSupplier clock;
  private final AnswerPatience patience = new AnswerPatience();
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
    this(store, prefix, timer, listener, MonotonicClock::nowMs);
  }

  /**
   * Creates a watcher that makes no calls yet.
   *
   * @param store the store
   * @param prefix the prefix
   * @param timer the single-threaded executor that runs the watcher
   * @param listener the listener to notify
   * @param clock the clock of the timer, in milliseconds
   */
  public PrefixWatcher(
      PrefixStore store,
      String prefix,
      ScheduledExecutorService timer,
      PrefixListener listener,
      LongSupplier clock) {
    this.clock = Check.notNull(clock, "clock");
    this.store = Check.notNull(store, "store");
    this.prefix = Check.hasText(prefix, "prefix");
    this.timer = Check.notNull(timer, "timer");
    this.listener = Check.notNull(listener, "listener");
  }

  /**
   * Reads all keys and watches them from then on. A watcher that does so already keeps its call.
   *
   * @param maxWaitMs the maximum time that one call waits for changes, in milliseconds
   * @param patienceMs how late an answer of a store that answers at once may be before it counts as
   *     lost, in milliseconds; a slow store is given more time
   */
  public void watch(long maxWaitMs, long patienceMs) {
    Check.inRange(maxWaitMs, 1, 30_000, "maxWaitMs");
    Check.isTrue(patienceMs > 0, "'patienceMs' must be positive but is " + patienceMs + ".");
    submit(
        () -> {
          pollMs = maxWaitMs;
          patience.setMinMs(patienceMs);
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
    final long startedMs = clock.getAsLong();
    if (revision.isEmpty()) {
      call = Call.READ;
      store
          .read(prefix, startedMs + AnswerPatience.MAX_MS)
          .whenComplete(
              (snapshot, error) -> execute(number, () -> onRead(startedMs, snapshot, error)));
      return;
    }
    call = Call.WATCH;
    long waitUntilMs = startedMs + pollMs;
    long deadlineMs = patience.deadlineMs(waitUntilMs);
    store
        .awaitChanges(prefix, revision.get(), waitUntilMs, deadlineMs)
        .whenComplete(
            (changes, error) ->
                execute(
                    number,
                    () -> {
                      if (error == null) {
                        onChanges(startedMs, waitUntilMs, changes);
                      } else if (clock.getAsLong() >= deadlineMs) {
                        onAnswerLate();
                      } else {
                        handleFailure(error);
                      }
                    }));
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
    patience.record(clock.getAsLong() - startedMs);
    listener.onSnapshot(snapshot);
    listener.onCurrent(startedMs);
    revision = Optional.of(snapshot.revision());
    continueWatching();
  }

  /** Reads all keys at once. The store counts as unreachable only if this call fails as well. */
  private void onAnswerLate() {
    LOGGER.info(
        "A watch of prefix {} was not answered in time; reading all its keys again", prefix);
    if (watching) {
      readAll();
    } else {
      call = Call.NONE;
    }
  }

  private void onChanges(long startedMs, long waitUntilMs, PrefixChanges changes) {
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
    long nowMs = clock.getAsLong();
    boolean waitedInVain = changes.changes().isEmpty() && nowMs >= waitUntilMs;
    if (waitedInVain) {
      patience.record(nowMs - waitUntilMs);
    }
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
