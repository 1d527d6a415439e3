package org.sequoiareach.decision.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.EngineLoad;

/**
 * Reserves memory for the prompt and the maximum answer length of every attempt, so that memory
 * never overflows.
 *
 * <p>This strategy is a baseline. It is safe as long as nobody else uses the engine, but wasteful,
 * because most answers are far shorter than their maximum. The queue is served strictly by
 * priority, then by arrival. An attempt is refused immediately if the queue is full or if its
 * predicted wait exceeds its deadline.
 */
public final class MaximumLengthAdmission implements AdmissionStrategy {

  private final String targetId;
  private final AdmissionQueue queue;
  private final MemoryReleaseEstimator memoryRelease = new MemoryReleaseEstimator();
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
   * @param settings the admission settings
   */
  public MaximumLengthAdmission(String targetId, AdmissionSettings settings) {
    this.targetId = Check.hasText(targetId, "targetId");
    Check.notNull(settings, "settings");
    queue = new AdmissionQueue(settings.queueBound());
    capacityTokens = settings.assumedMemoryTokens();
  }

  @Override
  public AdmissionDecision offer(long nowMs, PendingAttempt attempt) {
    boolean isNew =
        !running.containsKey(attempt.attemptId()) && !queue.contains(attempt.attemptId());
    if (!isNew) {
      throw new IllegalArgumentException(
          "Attempt '"
              + attempt.attemptId()
              + "' was already offered to target '"
              + targetId
              + "'.");
    }
    if (attempt.deadlineMs() <= nowMs) {
      return refuse(attempt, "deadline passed", 0);
    }
    if (attempt.spec().promptTokens() >= capacityTokens) {
      return refuse(attempt, attempt.promptTooLongReason(capacityTokens), 0);
    }
    QueuedAttempt queued = toQueued(nowMs, attempt);
    if (queue.isEmpty() && fits(queued.requiredTokens())) {
      return start(nowMs, queued);
    }
    return queueOrRefuse(nowMs, queued);
  }

  @Override
  public void recordProgress(long nowMs, String attemptId, int tokens) {
    // The reservation already covers the maximum length.
  }

  @Override
  public void remove(long nowMs, String attemptId, int tokens) {
    Reservation reservation = running.remove(attemptId);
    if (reservation == null) {
      queue.remove(attemptId);
      return;
    }
    reservedTokens -= reservation.tokens();
    memoryRelease.record(nowMs - reservation.startedMs(), reservation.tokens());
  }

  @Override
  public void recordLoad(long nowMs, EngineLoad load) {
    capacityTokens = (long) load.totalBlocks() * load.blockTokens();
    blockTokens = load.blockTokens();
    stepMs = load.stepMs();
  }

  @Override
  public List<AdmissionDecision> processQueue(long nowMs) {
    if (queue.isEmpty()) {
      return List.of();
    }
    List<AdmissionDecision> decisions = new ArrayList<>();
    for (QueuedAttempt expired : queue.removeExpired(nowMs)) {
      decisions.add(refuse(expired.attempt(), "deadline passed while queued", waitMs(0)));
    }
    for (QueuedAttempt queued : queue.snapshot()) {
      if (!fits(queued.requiredTokens())) {
        break;
      }
      queue.remove(queued.attempt().attemptId());
      decisions.add(start(nowMs, queued));
    }
    return decisions;
  }

  @Override
  public List<PendingAttempt> withdrawQueue(long nowMs) {
    return queue.removeAll();
  }

  @Override
  public LoadHint hint(long nowMs) {
    double fill = (double) reservedTokens / capacityTokens;
    return new LoadHint(targetId, running.size(), queue.size(), fill, stepMs);
  }

  private QueuedAttempt toQueued(long nowMs, PendingAttempt attempt) {
    long tokens = (long) attempt.spec().promptTokens() + attempt.spec().maxTokens();
    long rounded = (tokens + blockTokens - 1) / blockTokens * blockTokens;
    int requiredTokens = (int) Math.min(rounded, capacityTokens);
    sequence++;
    return new QueuedAttempt(attempt, attempt.priority(), nowMs, nowMs, sequence, requiredTokens);
  }

  private boolean fits(int requiredTokens) {
    // The reported capacity may shrink while an attempt waits; an idle target accepts any attempt.
    return running.isEmpty() || reservedTokens + requiredTokens <= capacityTokens;
  }

  private AdmissionDecision start(long nowMs, QueuedAttempt queued) {
    PendingAttempt attempt = queued.attempt();
    running.put(attempt.attemptId(), new Reservation(queued.requiredTokens(), nowMs));
    reservedTokens += queued.requiredTokens();
    String reason = "reserved " + reservedTokens + " of " + capacityTokens + " tokens";
    return new AdmissionDecision(
        attempt, AdmissionDecision.Action.START, attempt.priority(), reason, 0);
  }

  private AdmissionDecision queueOrRefuse(long nowMs, QueuedAttempt queued) {
    PendingAttempt attempt = queued.attempt();
    long wait = waitMs(queue.requiredTokensBefore(queued) + queued.requiredTokens());
    if (queue.isFull()) {
      return refuse(
          attempt,
          "queue is full with " + queue.size() + " attempts",
          waitMs(queue.requiredTokens()));
    }
    if (nowMs + wait > attempt.deadlineMs()) {
      return refuse(attempt, "predicted wait of " + wait + " ms exceeds the deadline", wait);
    }
    queue.add(queued);
    return new AdmissionDecision(
        attempt,
        AdmissionDecision.Action.QUEUE,
        0,
        "memory is reserved; predicted wait of " + wait + " ms",
        0);
  }

  private static AdmissionDecision refuse(
      PendingAttempt attempt, String reason, long retryAfterMs) {
    return new AdmissionDecision(attempt, AdmissionDecision.Action.REFUSE, 0, reason, retryAfterMs);
  }

  private long waitMs(long tokensAhead) {
    return memoryRelease.waitMs(reservedTokens + tokensAhead - capacityTokens, reservedTokens);
  }

  private record Reservation(int tokens, long startedMs) {}
}
