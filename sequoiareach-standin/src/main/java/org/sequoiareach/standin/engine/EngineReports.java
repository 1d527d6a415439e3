package org.sequoiareach.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.sequoiareach.model.platform.EngineLoad;

/** Holds back load reports and cache events until they are old enough. Not thread-safe. */
final class EngineReports {

  // Old enough reports must be at hand when a fault switch makes the lag greater.
  private static final double LEAST_KEPT_MS = 10_000;
  private static final int MAX_CACHE_EVENTS = 10_000;

  private final ReportSettings settings;
  private final SplittableRandom random;
  private final Deque<Dated<EngineLoad>> loads = new ArrayDeque<>();
  private final Deque<Dated<CacheEvent>> cacheEvents = new ArrayDeque<>();
  private double keptMs;
  private long lastSeq;

  EngineReports(ReportSettings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.keptMs = Math.max(settings.loadLagMs(), LEAST_KEPT_MS);
  }

  /** Keeps reports long enough for a lag. */
  void keep(long lagMs) {
    keptMs = Math.max(keptMs, lagMs);
  }

  void addLoad(EngineLoad load, double nowMs) {
    loads.add(new Dated<>(nowMs, load));
    while (loads.size() > 1 && secondLoadMs() <= nowMs - keptMs) {
      loads.removeFirst();
    }
  }

  EngineLoad load(double nowMs, long lagMs) {
    EngineLoad found = loads.getFirst().value();
    for (Dated<EngineLoad> load : loads) {
      if (load.atMs() > nowMs - lagMs) {
        break;
      }
      found = load.value();
    }
    return found;
  }

  void addCacheChange(BlockMemory.CacheChange change, double nowMs) {
    if (change.isEmpty()) {
      return;
    }
    lastSeq++;
    if (random.nextDouble() >= settings.cacheEventGapShare()) {
      CacheEvent event = new CacheEvent(lastSeq, change.stored(), change.removed());
      cacheEvents.add(new Dated<>(nowMs, event));
    }
    if (cacheEvents.size() > MAX_CACHE_EVENTS) {
      cacheEvents.removeFirst();
    }
  }

  /** Returns the cache events that have become old enough since the last call. */
  List<CacheEvent> drainCacheEvents(double nowMs) {
    List<CacheEvent> due = new ArrayList<>();
    while (!cacheEvents.isEmpty()
        && cacheEvents.getFirst().atMs() <= nowMs - settings.cacheEventLagMs()) {
      due.add(cacheEvents.removeFirst().value());
    }
    return due;
  }

  private double secondLoadMs() {
    return loads.stream().skip(1).findFirst().orElseThrow().atMs();
  }

  private record Dated<T>(double atMs, T value) {}
}
