package org.sequoiareach.store.prefix;

import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.model.Check;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Asks the store at regular times whether it answers.
 *
 * <p>A call that waits for changes stays silent when the store has become busy or unreachable, and
 * what changes meanwhile is missed until it ends. Thread-safe.
 */
public final class StoreProbe {

  private static final Logger LOGGER = LogManager.getLogger(StoreProbe.class);

  /**
   * Outages last seconds, and engines leave two seconds after a notice; each call has its price.
   */
  static final long PERIOD_MS = 1_000;

  /** A slow store takes a quarter of a second, and a lost packet as long again. */
  static final long TIMEOUT_MS = 600;

  private final PrefixStore store;
  private final ScheduledExecutorService timer;
  private final ContactListener listener;

  /**
   * Creates a probe that is not started.
   *
   * @param store the store
   * @param timer runs the probe; one thread
   * @param listener is told of each answer and each failure
   */
  public StoreProbe(PrefixStore store, ScheduledExecutorService timer, ContactListener listener) {
    this.store = Check.notNull(store, "store");
    this.timer = Check.notNull(timer, "timer");
    this.listener = Check.notNull(listener, "listener");
  }

  /** Starts to ask. */
  public void start() {
    timer.schedule(this::ask, PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  private void ask() {
    store
        .probe(MonotonicClock.nowMs() + TIMEOUT_MS)
        .whenComplete((answer, error) -> run(() -> told(error)));
  }

  private void told(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    listener.onContact(cause == null, cause == null ? "" : String.valueOf(cause.getMessage()));
    start();
  }

  private void run(Runnable task) {
    try {
      timer.execute(task);
    } catch (RejectedExecutionException e) {
      LOGGER.debug("The daemon stops; the store is not asked any longer.");
    }
  }
}
