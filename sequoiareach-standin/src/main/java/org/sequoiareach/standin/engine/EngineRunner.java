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
 * Runs an engine simulator in real time and notifies its observers. Thread-safe: one lock guards
 * the simulator and its generations.
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

  private final String engineId;
  private final EngineSimulator simulator;
  private final List<GenerationObserver> observers = new ArrayList<>();
  private ScheduledFuture<?> timer;
  private boolean delivering;
  private boolean deliverAgain;

  EngineRunner(EngineSettings settings) {
    this.engineId = settings.id();
    this.simulator = new EngineSimulator(settings, nowMs());
  }

  static double nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /** Executes an action on the simulator, and then delivers new output to the observers. */
  synchronized <T> T execute(Function<EngineSimulator, T> action) {
    T result = action.apply(simulator);
    deliver();
    return result;
  }

  synchronized void observe(GenerationObserver observer) {
    if (!observer.deliver()) {
      observers.add(observer);
    }
  }

  synchronized void deliverNow() {
    deliver();
  }

  synchronized void disconnectAll() {
    List<GenerationObserver> all = List.copyOf(observers);
    observers.clear();
    all.forEach(GenerationObserver::disconnect);
  }

  synchronized void stop() {
    disconnectAll();
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private synchronized void tick() {
    try {
      simulator.advance(nowMs());
      deliver();
    } catch (RuntimeException e) {
      LOG.error("Simulation of engine {} stopped after an error", engineId, e);
      throw e;
    }
  }

  private void deliver() {
    deliverAgain = true;
    if (delivering) {
      return;
    }
    deliverToObservers();
    if (timer != null) {
      timer.cancel(false);
    }
    timer = null;
    simulator
        .nextEventMs()
        .ifPresent(
            nextMs -> {
              long delayNanos = (long) Math.max(0, (nextMs - nowMs()) * NANOS_PER_MS);
              timer = TIMER.schedule(this::tick, delayNanos, TimeUnit.NANOSECONDS);
            });
  }

  /**
   * Delivers new output to all observers, and repeats this while {@code deliverAgain} is set.
   *
   * <p>A subscriber may request more events while it receives one. Such a nested call only sets
   * {@code deliverAgain}, so that an observer is never notified recursively.
   */
  private void deliverToObservers() {
    delivering = true;
    try {
      while (deliverAgain) {
        deliverAgain = false;
        observers.removeIf(GenerationObserver::deliver);
      }
    } finally {
      delivering = false;
    }
  }
}
