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

/** Runs all state changes of one registry one after the other. */
final class ControlLoop {

  private static final Logger LOG = LogManager.getLogger(ControlLoop.class);
  private static final long FIRST_BACKOFF_MS = 25;
  private static final long LAST_BACKOFF_MS = 1_000;
  private static final int MAX_DOUBLINGS = 6;

  private final Scheduler scheduler;
  private final LongSupplier clock;
  private final RandomGenerator random;

  ControlLoop(Scheduler scheduler, LongSupplier clock, RandomGenerator random) {
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
  }

  long nowMs() {
    return clock.getAsLong();
  }

  void run(Runnable task) {
    scheduler.schedule(guarded(task));
  }

  void runAt(long timeMs, Runnable task) {
    long delayMs = Math.max(0, timeMs - nowMs());
    scheduler.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS);
  }

  /** Runs a task after a jittered delay that grows with the failures in a row. */
  void runAfterBackoff(int failures, Runnable task) {
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
    long most = Math.min(LAST_BACKOFF_MS, FIRST_BACKOFF_MS << doublings);
    runAt(nowMs() + most / 2 + random.nextLong(most / 2 + 1), task);
  }

  /** Makes a call and hands on its value or failure, one of which is null. */
  <T> void call(
      Supplier<CompletableFuture<T>> call, BiConsumer<? super T, KeyValueException> handler) {
    CompletableFuture<T> answer;
    try {
      answer = call.get();
    } catch (RuntimeException e) {
      answer = CompletableFuture.failedFuture(e);
    }
    answer.whenComplete((value, error) -> run(() -> handler.accept(value, toFailure(error))));
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
    return new KeyValueException(Verdict.MAY_HAVE_RUN, "A call broke: " + cause, cause);
  }

  private static Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("A step of the claim registry failed.", e);
      }
    };
  }
}
