package org.sequoiareach.store.claim;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.kv.KeyValueException;
import reactor.core.scheduler.Scheduler;

/**
 * Serializes all state changes of one claim registry on a single-threaded scheduler.
 *
 * <p>State that is confined to the loop needs no further synchronization.
 */
final class ClaimEventLoop {

  private static final Logger LOG = LogManager.getLogger(ClaimEventLoop.class);
  private static final long INITIAL_BACKOFF_MS = 25;
  private static final long MAX_BACKOFF_MS = 1_000;
  private static final int MAX_DOUBLINGS = 6;

  private final Scheduler scheduler;
  private final LongSupplier clock;
  private final RandomGenerator random;

  ClaimEventLoop(Scheduler scheduler, LongSupplier clock, RandomGenerator random) {
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
  }

  long nowMs() {
    return clock.getAsLong();
  }

  void execute(Runnable task) {
    scheduler.schedule(loggingFailures(task));
  }

  void runAt(long timeMs, Runnable task) {
    long delayMs = Math.max(0, timeMs - nowMs());
    scheduler.schedule(loggingFailures(task), delayMs, TimeUnit.MILLISECONDS);
  }

  /** Runs a task after a jittered exponential backoff for a number of consecutive failures. */
  void runAfterBackoff(int failures, Runnable task) {
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
    long maxDelayMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << doublings);
    runAt(nowMs() + maxDelayMs / 2 + random.nextLong(maxDelayMs / 2 + 1), task);
  }

  /** Starts a call and passes its value or its failure to the handler; the other one is null. */
  <T> void call(
      Supplier<CompletableFuture<T>> call, BiConsumer<? super T, KeyValueException> handler) {
    CompletableFuture<T> answer;
    try {
      answer = call.get();
    } catch (RuntimeException e) {
      answer = CompletableFuture.failedFuture(e);
    }
    answer.whenComplete((value, error) -> execute(() -> handler.accept(value, toFailure(error))));
  }

  private static KeyValueException toFailure(Throwable error) {
    if (error == null) {
      return null;
    }
    Throwable cause =
        error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
    if (cause instanceof KeyValueException known) {
      return known;
    }
    return new KeyValueException(
        Verdict.MAY_HAVE_RUN,
        "A call to the key-value service failed unexpectedly: " + cause,
        cause);
  }

  private static Runnable loggingFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("Unexpected exception in a task of the claim registry", e);
      }
    };
  }
}
