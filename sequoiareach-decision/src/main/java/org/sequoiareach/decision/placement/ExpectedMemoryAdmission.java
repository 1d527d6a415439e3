package org.sequoiareach.decision.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.decision.budget.FairShare;
import org.sequoiareach.decision.length.LengthEstimator;
import org.sequoiareach.decision.length.LengthKey;
import org.sequoiareach.decision.length.LengthStatistics;
import org.sequoiareach.decision.length.RemainingLength;
import org.sequoiareach.decision.placement.TargetForecast.Headroom;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.EngineLoad;

/**
 * Admits an attempt if the memory predicted over a horizon fits with a configured probability and
 * the predicted time between tokens stays within its target.
 *
 * <p>Memory is predicted from the remaining length of each running answer and reconciled with the
 * load reports of the engine, which also show the load placed there by others. An engine without
 * running attempts accepts any attempt whose prompt fits.
 *
 * <p>Attempts that cannot start are queued by priority, then by deadline. An organisation that
 * recently received more than its share is moved back by some priority steps, and waiting raises
 * the priority step by step, which prevents starvation. A bounded number of attempts that fit may
 * overtake the head of the queue while the head does not fit. If the queue is full, a new attempt
 * may displace one that ranks behind it. An attempt is refused immediately if its predicted wait
 * exceeds its deadline or if it is unlikely to finish in time.
 */
public final class ExpectedMemoryAdmission implements AdmissionStrategy {

  private static final int MAX_OVERTAKES_OF_HEAD = 16;
  private static final int MAX_SCANNED_ATTEMPTS = 32;
  private static final int MAX_DISPLACED_ATTEMPTS = 16;
  private static final double MIN_COMPLETION_PROBABILITY = 0.1;

  private final String targetId;
  private final AdmissionSettings settings;
  private final LengthStatistics statistics;
  private final FairShare shares;
  private final TargetForecast forecast;
  private final AdmissionQueue queue;
  private final List<QueuedAttempt> displaced = new ArrayList<>();
  private String overtakenId = "";
  private int overtakes;
  private long sequence;

  /**
   * Creates the strategy of one target.
   *
   * @param targetId the target
   * @param settings the admission settings
   * @param statistics the answer-length statistics, shared by all targets of the daemon
   * @param shares the recent usage per organisation, shared by all targets of the daemon
   */
  public ExpectedMemoryAdmission(
      String targetId, AdmissionSettings settings, LengthStatistics statistics, FairShare shares) {
    this.targetId = Check.hasText(targetId, "targetId");
    this.settings = Check.notNull(settings, "settings");
    this.statistics = Check.notNull(statistics, "statistics");
    this.shares = Check.notNull(shares, "shares");
    forecast = new TargetForecast(settings);
    queue = new AdmissionQueue(settings.queueBound());
  }

  @Override
  public AdmissionDecision offer(long nowMs, PendingAttempt attempt) {
    String id = attempt.attemptId();
    boolean isNew = !forecast.isRunning(id) && !queue.contains(id);
    if (!isNew) {
      throw new IllegalArgumentException(
          "Attempt '" + id + "' was already offered to target '" + targetId + "'.");
    }
    if (attempt.deadlineMs() <= nowMs) {
      return refuse(attempt, "deadline passed", 0);
    }
    if (attempt.spec().promptTokens() >= forecast.totalTokens()) {
      return refuse(attempt, attempt.promptTooLongReason(forecast.totalTokens()), 0);
    }
    LengthEstimator lengths = estimatorFor(nowMs, attempt);
    RemainingLength length = lengths.distribution(nowMs).remaining(0, attempt.spec().maxTokens());
    if (!canFinishByDeadline(nowMs, attempt, length)) {
      return refuse(attempt, "cannot finish by its deadline", 0);
    }
    QueuedAttempt queued = toQueued(nowMs, attempt, length);
    Headroom headroom = forecast.headroomFor(nowMs, attempt, lengths);
    if (headroom == Headroom.AVAILABLE && tryTakeTurn(queued)) {
      return start(nowMs, queued, lengths);
    }
    return queueOrRefuse(nowMs, queued, headroom);
  }

  @Override
  public void recordProgress(long nowMs, String attemptId, int tokens) {
    forecast.recordProgress(nowMs, attemptId, tokens);
  }

  @Override
  public void remove(long nowMs, String attemptId, int tokens) {
    if (forecast.isRunning(attemptId)) {
      forecast.remove(nowMs, attemptId, tokens);
      return;
    }
    queue.remove(attemptId);
    displaced.removeIf(queued -> queued.attempt().attemptId().equals(attemptId));
  }

  @Override
  public void recordLoad(long nowMs, EngineLoad load) {
    forecast.recordLoad(nowMs, load);
  }

  @Override
  public List<AdmissionDecision> processQueue(long nowMs) {
    if (queue.isEmpty() && displaced.isEmpty()) {
      return List.of();
    }
    List<AdmissionDecision> decisions = new ArrayList<>();
    for (QueuedAttempt queued : displaced) {
      decisions.add(
          refuse(
              queued.attempt(),
              "displaced from a full queue by an attempt that ranks ahead",
              waitMs(nowMs, queued)));
    }
    displaced.clear();
    for (QueuedAttempt queued : queue.removeExpired(nowMs)) {
      decisions.add(
          refuse(queued.attempt(), "deadline passed while queued", waitMs(nowMs, queued)));
    }
    startQueued(nowMs, decisions);
    return decisions;
  }

  @Override
  public List<PendingAttempt> withdrawQueue(long nowMs) {
    List<PendingAttempt> all = new ArrayList<>(queue.removeAll());
    displaced.forEach(queued -> all.add(queued.attempt()));
    displaced.clear();
    return all;
  }

  @Override
  public LoadHint hint(long nowMs) {
    return new LoadHint(
        targetId,
        forecast.runningCount(),
        queue.size(),
        forecast.expectedFill(nowMs),
        forecast.recentTokenGapMs());
  }

  private void startQueued(long nowMs, List<AdmissionDecision> decisions) {
    for (QueuedAttempt queued : queue.head(MAX_SCANNED_ATTEMPTS)) {
      LengthEstimator lengths = estimatorFor(nowMs, queued.attempt());
      Headroom headroom = forecast.headroomFor(nowMs, queued.attempt(), lengths);
      if (headroom == Headroom.PACE_LIMITED) {
        return;
      }
      if (headroom == Headroom.AVAILABLE) {
        if (!tryTakeTurn(queued)) {
          return;
        }
        queue.remove(queued.attempt().attemptId());
        decisions.add(start(nowMs, queued, lengths));
      }
    }
  }

  /**
   * Returns whether the attempt is at the head of the queue or may overtake it, and counts each
   * overtaking.
   */
  private boolean tryTakeTurn(QueuedAttempt queued) {
    Optional<QueuedAttempt> first = queue.first();
    if (first.isEmpty() || queued.compareTo(first.get()) <= 0) {
      return true;
    }
    String firstId = first.get().attempt().attemptId();
    if (!firstId.equals(overtakenId)) {
      overtakenId = firstId;
      overtakes = 0;
    }
    if (overtakes >= MAX_OVERTAKES_OF_HEAD) {
      return false;
    }
    overtakes++;
    return true;
  }

  private AdmissionDecision start(long nowMs, QueuedAttempt queued, LengthEstimator lengths) {
    PendingAttempt attempt = queued.attempt();
    int expected = queued.requiredTokens() - attempt.spec().promptTokens();
    int priority = EnginePriority.of(attempt.priority(), expected);
    forecast.start(nowMs, attempt, lengths);
    shares.served(nowMs, attempt.spec().organisation(), queued.requiredTokens());
    long percent = Math.round(100 * forecast.expectedFill(nowMs));
    String reason = "expected fill " + percent + " %, batch " + forecast.runningCount();
    return new AdmissionDecision(attempt, AdmissionDecision.Action.START, priority, reason, 0);
  }

  private AdmissionDecision queueOrRefuse(long nowMs, QueuedAttempt queued, Headroom headroom) {
    PendingAttempt attempt = queued.attempt();
    long wait = waitMs(nowMs, queued);
    if (nowMs + wait > attempt.deadlineMs()) {
      return refuse(attempt, "predicted wait of " + wait + " ms exceeds the deadline", wait);
    }
    if (queue.isFull() && !displaceLast(queued)) {
      return refuse(attempt, "queue is full with " + queue.size() + " attempts", wait);
    }
    queue.add(queued);
    String limit =
        headroom == Headroom.PACE_LIMITED
            ? "predicted time between tokens exceeds its target"
            : "memory may overflow within the horizon";
    String reason =
        headroom == Headroom.AVAILABLE ? "other attempts are ahead in the queue" : limit;
    return new AdmissionDecision(attempt, AdmissionDecision.Action.QUEUE, 0, reason, 0);
  }

  private boolean displaceLast(QueuedAttempt queued) {
    Optional<QueuedAttempt> last = queue.last();
    boolean later = last.isPresent() && queued.compareTo(last.get()) < 0;
    if (!later || displaced.size() >= MAX_DISPLACED_ATTEMPTS) {
      return false;
    }
    queue.remove(last.get().attempt().attemptId());
    displaced.add(last.get());
    return true;
  }

  private boolean canFinishByDeadline(long nowMs, PendingAttempt attempt, RemainingLength length) {
    double tokens = length.quantile(MIN_COMPLETION_PROBABILITY);
    double gapMs = forecast.predictedTokenGapMs(attempt.spec().promptTokens());
    return nowMs + tokens * gapMs <= attempt.deadlineMs();
  }

  private QueuedAttempt toQueued(long nowMs, PendingAttempt attempt, RemainingLength length) {
    // Ageing advances all queued attempts at the same rate, so the order of any two of them is
    // fixed on arrival.
    int stepsBehind = shares.stepsBehind(nowMs, attempt.spec().organisation());
    long rank = attempt.priority() + stepsBehind + Math.floorDiv(nowMs, settings.ageStepMs());
    int expected = (int) length.mean(attempt.spec().maxTokens());
    int requiredTokens = attempt.spec().promptTokens() + expected;
    sequence++;
    return new QueuedAttempt(attempt, rank, attempt.deadlineMs(), nowMs, sequence, requiredTokens);
  }

  private long waitMs(long nowMs, QueuedAttempt queued) {
    double requiredTokens = (double) queue.requiredTokensBefore(queued) + queued.requiredTokens();
    return forecast.waitMs(nowMs, requiredTokens, queue.countBefore(queued));
  }

  private LengthEstimator estimatorFor(long nowMs, PendingAttempt attempt) {
    return statistics.estimator(nowMs, LengthKey.of(attempt.spec()));
  }

  private static AdmissionDecision refuse(
      PendingAttempt attempt, String reason, long retryAfterMs) {
    return new AdmissionDecision(attempt, AdmissionDecision.Action.REFUSE, 0, reason, retryAfterMs);
  }
}
