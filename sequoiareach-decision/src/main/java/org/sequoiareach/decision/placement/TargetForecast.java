package org.sequoiareach.decision.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.sequoiareach.decision.length.LengthEstimator;
import org.sequoiareach.decision.length.RemainingLength;
import org.sequoiareach.model.platform.EngineLoad;

/** Predicts the memory and the pace of one engine from what runs there and what it reports. */
final class TargetForecast {

  private static final double OTHERS_SPREAD = 0.15;
  private static final long FORECAST_KEPT_MS = 20;

  private final AdmissionSettings settings;
  private final double normalQuantile;
  private final Map<String, RunningAttempt> running = new LinkedHashMap<>();
  private final MemoryForecast memory;
  private final StepTimeModel steps = new StepTimeModel();
  private final OthersUse othersTokens = new OthersUse();
  private final OthersUse othersRunning = new OthersUse();
  private final DrainEstimate drain = new DrainEstimate();
  private long totalTokens;
  private int blockTokens = 1;
  private double ownTokens;
  private double tokensPerMs;
  private long forecastMs;
  private boolean stale = true;

  TargetForecast(AdmissionSettings settings) {
    this.settings = settings;
    normalQuantile = NormalQuantile.exceededWith(settings.overflowProbability());
    memory = new MemoryForecast(settings.horizonMs());
    totalTokens = settings.assumedMemoryTokens();
  }

  long totalTokens() {
    return totalTokens;
  }

  int running() {
    return running.size();
  }

  boolean isRunning(String attemptId) {
    return running.containsKey(attemptId);
  }

  double recentGapMs() {
    return steps.recentMs();
  }

  /** Returns the share of memory expected to be in use at the peak of the horizon. */
  double expectedFill(long nowMs) {
    update(nowMs);
    return memory.peakMean() / totalTokens;
  }

  /** Says what keeps an attempt from starting now; {@link Room#FREE} where nothing does. */
  Room roomFor(long nowMs, PendingAttempt attempt, LengthEstimator lengths) {
    update(nowMs);
    int prompt = attempt.spec().promptTokens() + blockTokens / 2;
    boolean promptFits = othersTokens.others() + ownTokens + prompt <= totalTokens;
    if (running.isEmpty() && promptFits) {
      return Room.FREE;
    }
    if (predictedGapMs(prompt) > settings.targetTokenGapMs()) {
      return Room.NO_PACE;
    }
    int max = attempt.spec().maxTokens();
    RemainingLength length = lengths.distribution(nowMs).remaining(0, max);
    memory.consider(prompt, length, max, tokensPerMs);
    boolean fits = memory.upperQuantile(normalQuantile) <= totalTokens;
    return promptFits && fits ? Room.FREE : Room.NO_MEMORY;
  }

  void start(long nowMs, PendingAttempt attempt, LengthEstimator lengths) {
    running.put(attempt.attemptId(), new RunningAttempt(attempt, lengths, nowMs));
    stale = true;
    update(nowMs);
    noteOwn(nowMs);
  }

  void progress(long nowMs, String attemptId, int tokens) {
    RunningAttempt attempt = running.get(attemptId);
    if (attempt == null) {
      return;
    }
    double gapMs = attempt.progress(nowMs, tokens);
    if (gapMs > 0) {
      steps.observe(batch(), ownTokens + othersTokens.others(), gapMs);
    }
  }

  void remove(long nowMs, String attemptId, int tokens) {
    RunningAttempt attempt = running.get(attemptId);
    double held = attempt.contextAt(nowMs, tokensPerMs);
    drain.record(nowMs - attempt.startedMs(), held);
    attempt.end(nowMs, tokens);
    noteOwn(nowMs);
    running.remove(attemptId);
    stale = true;
  }

  void report(long nowMs, EngineLoad load) {
    totalTokens = (long) load.totalBlocks() * load.blockTokens();
    blockTokens = load.blockTokens();
    update(nowMs);
    noteOwn(nowMs);
    double usedTokens = (double) load.usedBlocks() * load.blockTokens();
    othersTokens.noteReport(nowMs, usedTokens);
    othersRunning.noteReport(nowMs, load.running());
    if (load.stepMs() > 0 && load.running() > 0) {
      steps.observe(load.running(), usedTokens, load.stepMs());
    }
    stale = true;
  }

  /** Predicts when room for an attempt and those served before it will have been freed. */
  long waitMs(long nowMs, double needTokens, int attemptsAhead) {
    update(nowMs);
    memory.considerNothing();
    double toFree = memory.upperQuantile(normalQuantile) + needTokens - totalTokens;
    double slots = (attemptsAhead + 1) * ownTokens / Math.max(1, running.size());
    long memoryWait = drain.waitMs(toFree, ownTokens);
    return paceBound() ? Math.max(memoryWait, drain.waitMs(slots, ownTokens)) : memoryWait;
  }

  /** Predicts the time between tokens were one more attempt to start. */
  double predictedGapMs(double promptTokens) {
    return steps.predictMs(batch() + 1, ownTokens + othersTokens.others() + promptTokens);
  }

  private boolean paceBound() {
    return predictedGapMs(0) > settings.targetTokenGapMs();
  }

  private int batch() {
    return running.size() + (int) othersRunning.others();
  }

  private void noteOwn(long nowMs) {
    othersTokens.noteOwn(nowMs, ownTokens);
    othersRunning.noteOwn(nowMs, running.size());
  }

  private void update(long nowMs) {
    if (!stale && nowMs - forecastMs < FORECAST_KEPT_MS) {
      return;
    }
    double others = othersTokens.others();
    tokensPerMs = 1 / steps.predictMs(batch(), ownTokens + others);
    memory.reset(others, OTHERS_SPREAD * others);
    ownTokens = 0;
    for (RunningAttempt attempt : running.values()) {
      double context = attempt.contextAt(nowMs, tokensPerMs) + blockTokens / 2;
      ownTokens += context;
      int more = attempt.maxTokens() - attempt.tokensAt(nowMs, tokensPerMs);
      memory.consider(context, attempt.remaining(nowMs, tokensPerMs), more, tokensPerMs);
      memory.addConsidered();
    }
    forecastMs = nowMs;
    stale = false;
  }

  /** Names what an attempt that cannot start lacks. */
  enum Room {
    /** It can start. */
    FREE,
    /** Memory may fill up over the horizon. */
    NO_MEMORY,
    /** The time between tokens would pass its target. */
    NO_PACE
  }
}
