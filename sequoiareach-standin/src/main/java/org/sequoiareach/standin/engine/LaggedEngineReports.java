package org.sequoiareach.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.sequoiareach.model.platform.EngineLoad;

/** Delays load reports and cache events by a configurable lag. Not thread-safe. */
final class LaggedEngineReports {

  // Reports are retained beyond the configured lag, as a fault switch may increase the lag.
  private static final double MIN_RETENTION_MS = 10_000;
  private static final int MAX_CACHE_EVENTS = 10_000;

  private final ReportSettings settings;
  private final SplittableRandom random;
  private final Deque<Timestamped<EngineLoad>> loads = new ArrayDeque<>();
  private final Deque<Timestamped<CacheEvent>> cacheEvents = new ArrayDeque<>();
  private double retentionMs;
  private long lastSeq;

  LaggedEngineReports(ReportSettings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.retentionMs = Math.max(settings.loadLagMs(), MIN_RETENTION_MS);
  }

  /** Extends the retention of load reports to at least the given lag. */
  void retainFor(long lagMs) {
    retentionMs = Math.max(retentionMs, lagMs);
  }

  void addLoad(EngineLoad load, double nowMs) {
    loads.add(new Timestamped<>(nowMs, load));
    while (loads.size() > 1 && secondOldestLoadMs() <= nowMs - retentionMs) {
      loads.removeFirst();
    }
  }

  EngineLoad load(double nowMs, long lagMs) {
    EngineLoad found = loads.getFirst().value();
    for (Timestamped<EngineLoad> load : loads) {
      if (load.atMs() > nowMs - lagMs) {
        break;
      }
      found = load.value();
    }
    return found;
  }

  void addCacheChange(BlockPool.CacheChange change, double nowMs) {
    if (change.isEmpty()) {
      return;
    }
    lastSeq++;
    if (random.nextDouble() >= settings.cacheEventGapShare()) {
      CacheEvent event = new CacheEvent(lastSeq, change.stored(), change.removed());
      cacheEvents.add(new Timestamped<>(nowMs, event));
    }
    if (cacheEvents.size() > MAX_CACHE_EVENTS) {
      cacheEvents.removeFirst();
    }
  }

  /** Returns and removes the cache events whose lag has passed. */
  List<CacheEvent> drainCacheEvents(double nowMs) {
    List<CacheEvent> due = new ArrayList<>();
    while (!cacheEvents.isEmpty()
        && cacheEvents.getFirst().atMs() <= nowMs - settings.cacheEventLagMs()) {
      due.add(cacheEvents.removeFirst().value());
    }
    return due;
  }

  private double secondOldestLoadMs() {
    return loads.stream().skip(1).findFirst().orElseThrow().atMs();
  }

  private record Timestamped<T>(double atMs, T value) {}
}
