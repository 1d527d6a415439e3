package org.sequoiareach.decision.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.EngineLoad;

/**
 * Starts every attempt immediately and leaves queueing to the target.
 *
 * <p>It is used for plain services, and for engines as the baseline that other strategies are
 * compared with. Attempts whose deadline has passed are refused.
 */
public final class PassThroughAdmission implements AdmissionStrategy {

  private static final String STARTED_REASON = "no admission control";
  private static final String EXPIRED_REASON = "deadline passed";

  private final String targetId;
  private final Set<String> running = new HashSet<>();
  private double fill;
  private double stepMs;

  /**
   * Creates the strategy of one target.
   *
   * @param targetId the target
   */
  public PassThroughAdmission(String targetId) {
    this.targetId = Check.hasText(targetId, "targetId");
  }

  @Override
  public AdmissionDecision offer(long nowMs, PendingAttempt attempt) {
    if (attempt.deadlineMs() <= nowMs) {
      return new AdmissionDecision(attempt, AdmissionDecision.Action.REFUSE, 0, EXPIRED_REASON, 0);
    }
    boolean isNew = running.add(attempt.attemptId());
    if (!isNew) {
      throw new IllegalArgumentException(
          "Attempt '"
              + attempt.attemptId()
              + "' was already offered to target '"
              + targetId
              + "'.");
    }
    return new AdmissionDecision(
        attempt, AdmissionDecision.Action.START, attempt.priority(), STARTED_REASON, 0);
  }

  @Override
  public void recordProgress(long nowMs, String attemptId, int tokens) {
    // Admission does not depend on progress.
  }

  @Override
  public void remove(long nowMs, String attemptId, int tokens) {
    running.remove(attemptId);
  }

  @Override
  public void recordLoad(long nowMs, EngineLoad load) {
    fill = (double) load.usedBlocks() / load.totalBlocks();
    stepMs = load.stepMs();
  }

  @Override
  public List<AdmissionDecision> processQueue(long nowMs) {
    return List.of();
  }

  @Override
  public List<PendingAttempt> withdrawQueue(long nowMs) {
    return List.of();
  }

  @Override
  public LoadHint hint(long nowMs) {
    return new LoadHint(targetId, running.size(), 0, fill, stepMs);
  }
}
