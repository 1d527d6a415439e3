package org.sequoiareach.decision.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.EngineLoad;

/**
 * Reserves the prompt and the longest allowed answer of every attempt, so that memory never fills.
 *
 * <p>It is a baseline: safe where nobody else uses the engine, and wasteful, as most answers are
 * far shorter than allowed. The queue is served by priority, then arrival, strictly in order. An
 * attempt is refused at once where the queue is full, or where the predicted wait passes its
 * deadline.
 */
public final class MaximumLengthAdmission implements AdmissionStrategy {

  private final String targetId;
  private final AdmissionQueue queue;
  private final DrainEstimate drain = new DrainEstimate();
  private final Map<String, Reservation> running = new HashMap<>();
  private long capacityTokens;
  private int blockTokens = 1;
  private long reservedTokens;
  private double stepMs;
  private long sequence;

  /**
   * Creates the strategy of one target.
   *
   * @param targetId the target
   * @param settings the settings of admission
   */
  public MaximumLengthAdmission(String targetId, AdmissionSettings settings) {
    this.targetId = Check.hasText(targetId, "targetId");
    Check.notNull(settings, "settings");
    queue = new AdmissionQueue(settings.queueBound());
    capacityTokens = settings.assumedMemoryTokens();
  }

  @Override
  public Admission offer(long nowMs, PendingAttempt attempt) {
    boolean isNew =
        !running.containsKey(attempt.attemptId()) && !queue.contains(attempt.attemptId());
    Check.isTrue(isNew, "The attempt was offered before.");
    if (attempt.deadlineMs() <= nowMs) {
      return refuse(attempt, "deadline passed", 0);
    }
    if (attempt.spec().promptTokens() >= capacityTokens) {
      return refuse(attempt, "prompt exceeds the target's memory", 0);
    }
    QueuedAttempt queued = place(nowMs, attempt);
    if (queue.isEmpty() && fits(queued.needTokens())) {
      return start(nowMs, queued);
    }
    return queueOrRefuse(nowMs, queued);
  }

  @Override
  public void progress(long nowMs, String attemptId, int tokens) {
    // The reservation covers any progress.
  }

  @Override
  public void remove(long nowMs, String attemptId, int tokens) {
    Reservation reservation = running.remove(attemptId);
    if (reservation == null) {
      queue.remove(attemptId);
      return;
    }
    reservedTokens -= reservation.tokens();
    drain.record(nowMs - reservation.startedMs(), reservation.tokens());
  }

  @Override
  public void report(long nowMs, EngineLoad load) {
    capacityTokens = (long) load.totalBlocks() * load.blockTokens();
    blockTokens = load.blockTokens();
    stepMs = load.stepMs();
  }

  @Override
  public List<Admission> review(long nowMs) {
    if (queue.isEmpty()) {
      return List.of();
    }
    List<Admission> decisions = new ArrayList<>();
    for (QueuedAttempt expired : queue.removeExpired(nowMs)) {
      decisions.add(refuse(expired.attempt(), "deadline passed in queue", waitMs(0)));
    }
    for (QueuedAttempt queued : queue.inOrder()) {
      if (!fits(queued.needTokens())) {
        break;
      }
      queue.remove(queued.attempt().attemptId());
      decisions.add(start(nowMs, queued));
    }
    return decisions;
  }

  @Override
  public List<PendingAttempt> withdrawQueue(long nowMs) {
    return queue.withdraw();
  }

  @Override
  public LoadHint hint(long nowMs) {
    double fill = (double) reservedTokens / capacityTokens;
    return new LoadHint(targetId, running.size(), queue.size(), fill, stepMs);
  }

  private QueuedAttempt place(long nowMs, PendingAttempt attempt) {
    long tokens = (long) attempt.spec().promptTokens() + attempt.spec().maxTokens();
    long rounded = (tokens + blockTokens - 1) / blockTokens * blockTokens;
    int need = (int) Math.min(rounded, capacityTokens);
    sequence++;
    return new QueuedAttempt(attempt, attempt.priority(), nowMs, nowMs, sequence, need);
  }

  private boolean fits(int needTokens) {
    // A smaller capacity may be reported while an attempt waits; alone, it may always start.
    return running.isEmpty() || reservedTokens + needTokens <= capacityTokens;
  }

  private Admission start(long nowMs, QueuedAttempt queued) {
    PendingAttempt attempt = queued.attempt();
    running.put(attempt.attemptId(), new Reservation(queued.needTokens(), nowMs));
    reservedTokens += queued.needTokens();
    String reason = "reserved " + reservedTokens + " of " + capacityTokens + " tokens";
    return new Admission(attempt, Admission.Action.START, attempt.priority(), reason, 0);
  }

  private Admission queueOrRefuse(long nowMs, QueuedAttempt queued) {
    PendingAttempt attempt = queued.attempt();
    long wait = waitMs(queue.needTokensBefore(queued) + queued.needTokens());
    if (queue.isFull()) {
      return refuse(attempt, "queue is full", waitMs(queue.needTokens()));
    }
    if (nowMs + wait > attempt.deadlineMs()) {
      return refuse(attempt, "predicted wait of " + wait + " ms passes the deadline", wait);
    }
    queue.add(queued);
    return new Admission(attempt, Admission.Action.QUEUE, 0, "no room for " + wait + " ms", 0);
  }

  private static Admission refuse(PendingAttempt attempt, String reason, long retryAfterMs) {
    return new Admission(attempt, Admission.Action.REFUSE, 0, reason, retryAfterMs);
  }

  private long waitMs(long tokensAhead) {
    return drain.waitMs(reservedTokens + tokensAhead - capacityTokens, reservedTokens);
  }

  private record Reservation(int tokens, long startedMs) {}
}
