package org.sequoiareach.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Drives an engine model by the clock and serves its followers. Thread-safe: one lock guards the
 * model and its generations.
 */
final class EngineRunner {

  private static final Logger LOG = LogManager.getLogger(EngineRunner.class);
  private static final double NANOS_PER_MS = 1e6;
  private static final ScheduledExecutorService TIMER =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "standin-engine");
            thread.setDaemon(true);
            return thread;
          });

  private final EngineModel model;
  private final List<Follower> followers = new ArrayList<>();
  private ScheduledFuture<?> timer;
  private boolean pumping;
  private boolean pumpAgain;

  EngineRunner(EngineSettings settings) {
    this.model = new EngineModel(settings, nowMs());
  }

  static double nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /** Asks or changes the model, and then passes on what is new. */
  synchronized <T> T call(Function<EngineModel, T> action) {
    T result = action.apply(model);
    pump();
    return result;
  }

  synchronized void follow(Follower follower) {
    if (!follower.pump()) {
      followers.add(follower);
    }
  }

  synchronized void pumpNow() {
    pump();
  }

  synchronized void cutFollowers() {
    List<Follower> all = List.copyOf(followers);
    followers.clear();
    all.forEach(Follower::cut);
  }

  synchronized void stop() {
    cutFollowers();
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private synchronized void tick() {
    try {
      model.advance(nowMs());
      pump();
    } catch (RuntimeException e) {
      LOG.error("The engine stands still.", e);
      throw e;
    }
  }

  private void pump() {
    pumpAgain = true;
    if (pumping) {
      return;
    }
    pumpFollowers();
    if (timer != null) {
      timer.cancel(false);
    }
    timer = null;
    model
        .nextEventMs()
        .ifPresent(
            nextMs -> {
              long delayNanos = (long) Math.max(0, (nextMs - nowMs()) * NANOS_PER_MS);
              timer = TIMER.schedule(this::tick, delayNanos, TimeUnit.NANOSECONDS);
            });
  }

  /** A follower's reader asks for more while it takes an event: such calls only ask for a round. */
  private void pumpFollowers() {
    pumping = true;
    try {
      while (pumpAgain) {
        pumpAgain = false;
        followers.removeIf(Follower::pump);
      }
    } finally {
      pumping = false;
    }
  }
}
