package org.sequoiareach.decision.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.EngineLoad;

/**
 * Starts every attempt at once and leaves queueing to the target.
 *
 * <p>It serves plain services, and engines as the baseline that the other strategies are measured
 * against. Attempts whose deadline has passed are refused.
 */
public final class PassThroughAdmission implements AdmissionStrategy {

  private static final String STARTED = "no admission control";
  private static final String EXPIRED = "deadline passed";

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
  public Admission offer(long nowMs, PendingAttempt attempt) {
    if (attempt.deadlineMs() <= nowMs) {
      return new Admission(attempt, Admission.Action.REFUSE, 0, EXPIRED, 0);
    }
    boolean isNew = running.add(attempt.attemptId());
    Check.isTrue(isNew, "The attempt was offered before.");
    return new Admission(attempt, Admission.Action.START, attempt.priority(), STARTED, 0);
  }

  @Override
  public void progress(long nowMs, String attemptId, int tokens) {
    // Nothing is learnt from progress.
  }

  @Override
  public void remove(long nowMs, String attemptId, int tokens) {
    running.remove(attemptId);
  }

  @Override
  public void report(long nowMs, EngineLoad load) {
    fill = (double) load.usedBlocks() / load.totalBlocks();
    stepMs = load.stepMs();
  }

  @Override
  public List<Admission> review(long nowMs) {
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
