package org.sequoiareach.decision.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.sequoiareach.decision.length.LengthEstimator;
import org.sequoiareach.decision.length.RemainingLength;
import org.sequoiareach.model.platform.EngineLoad;

/**
 * Predicts the memory use and the time between tokens of one engine from its running attempts and
 * load reports.
 */
final class TargetForecast {

  private static final double EXTERNAL_USAGE_RELATIVE_STD_DEV = 0.15;
  private static final long MAX_FORECAST_AGE_MS = 20;

  private final AdmissionSettings settings;
  private final double normalQuantile;
  private final Map<String, RunningAttempt> running = new LinkedHashMap<>();
  private final MemoryForecast memory;
  private final StepTimeModel steps = new StepTimeModel();
  private final ExternalUsageEstimator externalTokens = new ExternalUsageEstimator();
  private final ExternalUsageEstimator externalRunning = new ExternalUsageEstimator();
  private final MemoryReleaseEstimator memoryRelease = new MemoryReleaseEstimator();
  private long totalTokens;
  private int blockTokens = 1;
  private double ownTokens;
  private double tokensPerMs;
  private long forecastMs;
  private boolean stale = true;

  TargetForecast(AdmissionSettings settings) {
    this.settings = settings;
    normalQuantile = NormalQuantile.forExceedanceProbability(settings.overflowProbability());
    memory = new MemoryForecast(settings.horizonMs());
    totalTokens = settings.assumedMemoryTokens();
  }

  long totalTokens() {
    return totalTokens;
  }

  int runningCount() {
    return running.size();
  }

  boolean isRunning(String attemptId) {
    return running.containsKey(attemptId);
  }

  double recentTokenGapMs() {
    return steps.recentMs();
  }

  /**
   * Returns the peak of the expected memory use over the horizon, as a fraction of the total
   * memory.
   */
  double expectedFill(long nowMs) {
    refresh(nowMs);
    return memory.peakMean() / totalTokens;
  }

  /** Returns whether the attempt can start now, or which resource prevents it. */
  Headroom headroomFor(long nowMs, PendingAttempt attempt, LengthEstimator lengths) {
    refresh(nowMs);
    int prompt = attempt.spec().promptTokens() + blockTokens / 2;
    boolean promptFits = externalTokens.estimate() + ownTokens + prompt <= totalTokens;
    if (running.isEmpty() && promptFits) {
      return Headroom.AVAILABLE;
    }
    if (predictedTokenGapMs(prompt) > settings.targetTokenGapMs()) {
      return Headroom.PACE_LIMITED;
    }
    int max = attempt.spec().maxTokens();
    RemainingLength length = lengths.distribution(nowMs).remaining(0, max);
    memory.setCandidate(prompt, length, max, tokensPerMs);
    boolean fits = memory.upperQuantile(normalQuantile) <= totalTokens;
    return promptFits && fits ? Headroom.AVAILABLE : Headroom.MEMORY_LIMITED;
  }

  void start(long nowMs, PendingAttempt attempt, LengthEstimator lengths) {
    running.put(attempt.attemptId(), new RunningAttempt(attempt, lengths, nowMs));
    stale = true;
    refresh(nowMs);
    recordOwnUsage(nowMs);
  }

  void recordProgress(long nowMs, String attemptId, int tokens) {
    RunningAttempt attempt = running.get(attemptId);
    if (attempt == null) {
      return;
    }
    double gapMs = attempt.recordProgress(nowMs, tokens);
    if (gapMs > 0) {
      steps.observe(batch(), ownTokens + externalTokens.estimate(), gapMs);
    }
  }

  void remove(long nowMs, String attemptId, int tokens) {
    RunningAttempt attempt = running.get(attemptId);
    double held = attempt.contextAt(nowMs, tokensPerMs);
    memoryRelease.record(nowMs - attempt.startedMs(), held);
    attempt.recordEnd(nowMs, tokens);
    recordOwnUsage(nowMs);
    running.remove(attemptId);
    stale = true;
  }

  void recordLoad(long nowMs, EngineLoad load) {
    totalTokens = (long) load.totalBlocks() * load.blockTokens();
    blockTokens = load.blockTokens();
    refresh(nowMs);
    recordOwnUsage(nowMs);
    double usedTokens = (double) load.usedBlocks() * load.blockTokens();
    externalTokens.recordReport(nowMs, usedTokens);
    externalRunning.recordReport(nowMs, load.running());
    if (load.stepMs() > 0 && load.running() > 0) {
      steps.observe(load.running(), usedTokens, load.stepMs());
    }
    stale = true;
  }

  /**
   * Estimates the time until there is capacity for an attempt and all attempts ahead of it, in
   * milliseconds.
   */
  long waitMs(long nowMs, double requiredTokens, int attemptsAhead) {
    refresh(nowMs);
    memory.clearCandidate();
    double toFree = memory.upperQuantile(normalQuantile) + requiredTokens - totalTokens;
    double nextSlotsTokens = (attemptsAhead + 1) * ownTokens / Math.max(1, running.size());
    long memoryWait = memoryRelease.waitMs(toFree, ownTokens);
    return isPaceLimited()
        ? Math.max(memoryWait, memoryRelease.waitMs(nextSlotsTokens, ownTokens))
        : memoryWait;
  }

  /** Predicts the time between tokens with one more attempt running, in milliseconds. */
  double predictedTokenGapMs(double promptTokens) {
    return steps.predictMs(batch() + 1, ownTokens + externalTokens.estimate() + promptTokens);
  }

  private boolean isPaceLimited() {
    return predictedTokenGapMs(0) > settings.targetTokenGapMs();
  }

  private int batch() {
    return running.size() + (int) externalRunning.estimate();
  }

  private void recordOwnUsage(long nowMs) {
    externalTokens.recordOwnUsage(nowMs, ownTokens);
    externalRunning.recordOwnUsage(nowMs, running.size());
  }

  private void refresh(long nowMs) {
    if (!stale && nowMs - forecastMs < MAX_FORECAST_AGE_MS) {
      return;
    }
    double external = externalTokens.estimate();
    tokensPerMs = 1 / steps.predictMs(batch(), ownTokens + external);
    memory.reset(external, EXTERNAL_USAGE_RELATIVE_STD_DEV * external);
    ownTokens = 0;
    for (RunningAttempt attempt : running.values()) {
      double context = attempt.contextAt(nowMs, tokensPerMs) + blockTokens / 2;
      ownTokens += context;
      int more = attempt.maxTokens() - attempt.tokensAt(nowMs, tokensPerMs);
      memory.setCandidate(context, attempt.remaining(nowMs, tokensPerMs), more, tokensPerMs);
      memory.addCandidate();
    }
    forecastMs = nowMs;
    stale = false;
  }

  /** Tells whether an attempt can start, or which resource prevents it. */
  enum Headroom {
    /** The attempt can start. */
    AVAILABLE,
    /** Memory may overflow within the horizon. */
    MEMORY_LIMITED,
    /** The predicted time between tokens would exceed its target. */
    PACE_LIMITED
  }
}
