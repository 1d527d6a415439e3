package org.sequoiareach.decision.placement;

import java.util.List;
import org.sequoiareach.model.platform.EngineLoad;

/**
 * Keeps the accounts of one target for its owner: what runs there, what waits, what fits.
 *
 * <p>Not thread-safe: it belongs to the control thread. It draws no random numbers and reads no
 * clock. Every attempt that was started or queued is told of by {@link #remove} exactly once.
 */
public interface AdmissionStrategy {

  /**
   * Offers an attempt. It is started, queued or refused.
   *
   * @param nowMs the time now
   * @param attempt the attempt
   * @return the decision
   */
  Admission offer(long nowMs, PendingAttempt attempt);

  /**
   * Records tokens received for a running attempt.
   *
   * @param nowMs the time now
   * @param attemptId the attempt; unknown attempts are ignored
   * @param tokens tokens received since the attempt started
   */
  void progress(long nowMs, String attemptId, int tokens);

  /**
   * Forgets an attempt that ended, failed or was cancelled, whether it was running or queued.
   *
   * @param nowMs the time now
   * @param attemptId the attempt; unknown attempts are ignored
   * @param tokens tokens generated if it finished; negative if its length is not to be learnt from
   */
  void remove(long nowMs, String attemptId, int tokens);

  /**
   * Records a load report of the target.
   *
   * @param nowMs the time now
   * @param load the report, which lags
   */
  void report(long nowMs, EngineLoad load);

  /**
   * Decides on the queue again: after room was freed, a report came, or time has passed.
   *
   * @param nowMs the time now
   * @return decisions on queued attempts: those that start and those that are refused; attempts
   *     that go on waiting are not listed
   */
  List<Admission> review(long nowMs);

  /**
   * Empties the queue, as the target is leaving or its ownership has moved.
   *
   * @param nowMs the time now
   * @return the attempts that were queued, none of which has run
   */
  List<PendingAttempt> withdrawQueue(long nowMs);

  /**
   * Sums up the target for routing.
   *
   * @param nowMs the time now
   * @return the hint
   */
  LoadHint hint(long nowMs);
}
