package org.sequoiareach.decision.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.decision.budget.FairShare;
import org.sequoiareach.decision.length.LengthEstimator;
import org.sequoiareach.decision.length.LengthKey;
import org.sequoiareach.decision.length.LengthStatistics;
import org.sequoiareach.decision.length.RemainingLength;
import org.sequoiareach.decision.placement.TargetForecast.Room;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.EngineLoad;

/**
 * Starts an attempt while the memory predicted over a horizon fits with a stated probability, and
 * while the predicted time between tokens stays under its target.
 *
 * <p>Memory is predicted from the tokens that each running answer has still to come, and reconciled
 * with the engine's load reports, which also show what others have placed there. An engine on which
 * nothing runs takes any attempt whose prompt fits.
 *
 * <p>Other attempts wait by priority, then deadline; an organisation that was served more than its
 * share of late is put some steps back, and time spent waiting raises the priority step by step, so
 * that none waits for ever. A few attempts that fit may pass the first in the queue while it does
 * not fit. Where the queue is full, a newcomer may displace an attempt that is served later than
 * itself. An attempt is refused at once where the predicted wait passes its deadline, or where it
 * could hardly finish by it.
 */
public final class ExpectedMemoryAdmission implements AdmissionStrategy {

  private static final int MOST_PASSING_THE_FIRST = 16;
  private static final int MOST_LOOKED_AT = 32;
  private static final int MOST_DISPLACED = 16;
  private static final double LEAST_CHANCE_TO_FINISH = 0.1;

  private final String targetId;
  private final AdmissionSettings settings;
  private final LengthStatistics statistics;
  private final FairShare shares;
  private final TargetForecast forecast;
  private final AdmissionQueue queue;
  private final List<QueuedAttempt> displaced = new ArrayList<>();
  private String passedId = "";
  private int passes;
  private long sequence;

  /**
   * Creates the strategy of one target.
   *
   * @param targetId the target
   * @param settings the settings of admission
   * @param statistics the lengths of answers, shared by all targets of the daemon
   * @param shares what organisations have been served, shared by all targets of the daemon
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
  public Admission offer(long nowMs, PendingAttempt attempt) {
    String id = attempt.attemptId();
    boolean isNew = !forecast.isRunning(id) && !queue.contains(id);
    Check.isTrue(isNew, "The attempt was offered before.");
    if (attempt.deadlineMs() <= nowMs) {
      return refuse(attempt, "deadline passed", 0);
    }
    if (attempt.spec().promptTokens() >= forecast.totalTokens()) {
      return refuse(attempt, "prompt exceeds the target's memory", 0);
    }
    LengthEstimator lengths = lengthsOf(nowMs, attempt);
    RemainingLength length = lengths.distribution(nowMs).remaining(0, attempt.spec().maxTokens());
    if (!mayFinish(nowMs, attempt, length)) {
      return refuse(attempt, "cannot finish by its deadline", 0);
    }
    QueuedAttempt queued = place(nowMs, attempt, length);
    Room room = forecast.roomFor(nowMs, attempt, lengths);
    if (room == Room.FREE && mayGoFirst(queued)) {
      return start(nowMs, queued, lengths);
    }
    return queueOrRefuse(nowMs, queued, room);
  }

  @Override
  public void progress(long nowMs, String attemptId, int tokens) {
    forecast.progress(nowMs, attemptId, tokens);
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
  public void report(long nowMs, EngineLoad load) {
    forecast.report(nowMs, load);
  }

  @Override
  public List<Admission> review(long nowMs) {
    if (queue.isEmpty() && displaced.isEmpty()) {
      return List.of();
    }
    List<Admission> decisions = new ArrayList<>();
    for (QueuedAttempt queued : displaced) {
      decisions.add(refuse(queued.attempt(), "displaced from a full queue", waitMs(nowMs, queued)));
    }
    displaced.clear();
    for (QueuedAttempt queued : queue.removeExpired(nowMs)) {
      decisions.add(refuse(queued.attempt(), "deadline passed in queue", waitMs(nowMs, queued)));
    }
    startWaiting(nowMs, decisions);
    return decisions;
  }

  @Override
  public List<PendingAttempt> withdrawQueue(long nowMs) {
    List<PendingAttempt> all = new ArrayList<>(queue.withdraw());
    displaced.forEach(queued -> all.add(queued.attempt()));
    displaced.clear();
    return all;
  }

  @Override
  public LoadHint hint(long nowMs) {
    return new LoadHint(
        targetId,
        forecast.running(),
        queue.size(),
        forecast.expectedFill(nowMs),
        forecast.recentGapMs());
  }

  private void startWaiting(long nowMs, List<Admission> decisions) {
    for (QueuedAttempt queued : queue.firstOnes(MOST_LOOKED_AT)) {
      LengthEstimator lengths = lengthsOf(nowMs, queued.attempt());
      Room room = forecast.roomFor(nowMs, queued.attempt(), lengths);
      if (room == Room.NO_PACE) {
        return;
      }
      if (room == Room.FREE) {
        if (!mayGoFirst(queued)) {
          return;
        }
        queue.remove(queued.attempt().attemptId());
        decisions.add(start(nowMs, queued, lengths));
      }
    }
  }

  /**
   * Says whether an attempt is served next, or may pass the first in the queue, and counts that.
   */
  private boolean mayGoFirst(QueuedAttempt queued) {
    Optional<QueuedAttempt> first = queue.first();
    if (first.isEmpty() || queued.compareTo(first.get()) <= 0) {
      return true;
    }
    String firstId = first.get().attempt().attemptId();
    if (!firstId.equals(passedId)) {
      passedId = firstId;
      passes = 0;
    }
    if (passes >= MOST_PASSING_THE_FIRST) {
      return false;
    }
    passes++;
    return true;
  }

  private Admission start(long nowMs, QueuedAttempt queued, LengthEstimator lengths) {
    PendingAttempt attempt = queued.attempt();
    int expected = queued.needTokens() - attempt.spec().promptTokens();
    int priority = EnginePriority.of(attempt.priority(), expected);
    forecast.start(nowMs, attempt, lengths);
    shares.served(nowMs, attempt.spec().organisation(), queued.needTokens());
    long percent = Math.round(100 * forecast.expectedFill(nowMs));
    String reason = "expected fill " + percent + " %, batch " + forecast.running();
    return new Admission(attempt, Admission.Action.START, priority, reason, 0);
  }

  private Admission queueOrRefuse(long nowMs, QueuedAttempt queued, Room room) {
    PendingAttempt attempt = queued.attempt();
    long wait = waitMs(nowMs, queued);
    if (nowMs + wait > attempt.deadlineMs()) {
      return refuse(attempt, "predicted wait of " + wait + " ms passes the deadline", wait);
    }
    if (queue.isFull() && !displaceLast(queued)) {
      return refuse(attempt, "queue is full", wait);
    }
    queue.add(queued);
    String why = room == Room.NO_PACE ? "tokens would come too slowly" : "memory may fill up";
    String reason = room == Room.FREE ? "others are served first" : why;
    return new Admission(attempt, Admission.Action.QUEUE, 0, reason, 0);
  }

  private boolean displaceLast(QueuedAttempt queued) {
    Optional<QueuedAttempt> last = queue.last();
    boolean later = last.isPresent() && queued.compareTo(last.get()) < 0;
    if (!later || displaced.size() >= MOST_DISPLACED) {
      return false;
    }
    queue.remove(last.get().attempt().attemptId());
    displaced.add(last.get());
    return true;
  }

  private boolean mayFinish(long nowMs, PendingAttempt attempt, RemainingLength length) {
    double tokens = length.quantile(LEAST_CHANCE_TO_FINISH);
    double gapMs = forecast.predictedGapMs(attempt.spec().promptTokens());
    return nowMs + tokens * gapMs <= attempt.deadlineMs();
  }

  private QueuedAttempt place(long nowMs, PendingAttempt attempt, RemainingLength length) {
    // Time spent waiting lowers the level of all attempts alike, so the order between two of them
    // is fixed by their arrival.
    int stepsBehind = shares.stepsBehind(nowMs, attempt.spec().organisation());
    long level = attempt.priority() + stepsBehind + Math.floorDiv(nowMs, settings.ageStepMs());
    int expected = (int) length.mean(attempt.spec().maxTokens());
    int need = attempt.spec().promptTokens() + expected;
    sequence++;
    return new QueuedAttempt(attempt, level, attempt.deadlineMs(), nowMs, sequence, need);
  }

  private long waitMs(long nowMs, QueuedAttempt queued) {
    double need = (double) queue.needTokensBefore(queued) + queued.needTokens();
    return forecast.waitMs(nowMs, need, queue.countBefore(queued));
  }

  private LengthEstimator lengthsOf(long nowMs, PendingAttempt attempt) {
    return statistics.estimator(nowMs, LengthKey.of(attempt.spec()));
  }

  private static Admission refuse(PendingAttempt attempt, String reason, long retryAfterMs) {
    return new Admission(attempt, Admission.Action.REFUSE, 0, reason, retryAfterMs);
  }
}
