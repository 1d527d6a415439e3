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
 * Follows the keys under a prefix by one waiting call, and reads them anew when a call has failed
 * or the history is gone.
 *
 * <p>One call is in flight at a time. After a failure the next call follows a pause that doubles up
 * to a bound. Thread-safe.
 */
public final class PrefixFollower {

  private static final Logger LOGGER = LogManager.getLogger(PrefixFollower.class);

  /** An answer of the store takes milliseconds; a slow store takes fifty times as long. */
  private static final long CALL_TIMEOUT_MS = 1_000;

  private static final long FIRST_PAUSE_MS = 50;
  private static final long LONGEST_PAUSE_MS = 400;

  private final PrefixStore store;
  private final String prefix;
  private final PrefixListener listener;
  private final ScheduledExecutorService timer;
  private final long waitMs;
  private Optional<Long> revision = Optional.empty();
  private long pauseMs = FIRST_PAUSE_MS;

  /**
   * Creates a follower that is not started.
   *
   * @param store the store
   * @param prefix the prefix
   * @param waitMs the longest time that a call waits for changes
   * @param timer runs the follower; one thread
   * @param listener receives what it learns
   */
  public PrefixFollower(
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

  /** Starts to follow. */
  public void start() {
    timer.execute(this::call);
  }

  private void call() {
    if (revision.isEmpty()) {
      store
          .read(prefix, MonotonicClock.nowMs() + CALL_TIMEOUT_MS)
          .whenComplete((snapshot, error) -> run(() -> onRead(snapshot, error)));
      return;
    }
    long waitUntilMs = MonotonicClock.nowMs() + waitMs;
    store
        .awaitChanges(prefix, revision.get(), waitUntilMs, waitUntilMs + CALL_TIMEOUT_MS)
        .whenComplete((changes, error) -> run(() -> onChanges(changes, error)));
  }

  private void onRead(PrefixSnapshot snapshot, Throwable error) {
    if (error != null) {
      failed(error);
      return;
    }
    succeeded();
    listener.onSnapshot(snapshot);
    revision = Optional.of(snapshot.revision());
    call();
  }

  private void onChanges(PrefixChanges changes, Throwable error) {
    if (error != null) {
      failed(error);
      return;
    }
    succeeded();
    if (!changes.changes().isEmpty()) {
      listener.onChanges(changes.changes());
    }
    revision = Optional.of(Math.max(revision.orElse(0L), changes.revision()));
    call();
  }

  private void succeeded() {
    pauseMs = FIRST_PAUSE_MS;
    listener.onContact(true, "");
  }

  private void failed(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    // A store that has dropped its history may let a watch wait that it could not serve.
    revision = Optional.empty();
    if (cause instanceof PrefixStoreException lost && lost.kind() == Kind.HISTORY_GONE) {
      LOGGER.info("The history of {} is gone; its keys are read anew.", prefix);
      call();
      return;
    }
    listener.onContact(false, String.valueOf(cause.getMessage()));
    timer.schedule(this::call, pauseMs, TimeUnit.MILLISECONDS);
    pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
  }

  private void run(Runnable task) {
    try {
      timer.execute(
          () -> {
            try {
              task.run();
            } catch (RuntimeException e) {
              LOGGER.error("What {} holds could not be taken over.", prefix, e);
              timer.schedule(this::call, LONGEST_PAUSE_MS, TimeUnit.MILLISECONDS);
            }
          });
    } catch (RejectedExecutionException e) {
      LOGGER.debug("The daemon stops; {} is not followed any longer.", prefix);
    }
  }
}
