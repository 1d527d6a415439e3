package org.sequoiareach.daemon.dialect;

import java.util.concurrent.CompletableFuture;
import org.sequoiareach.decision.dispatch.CopyOutcome;

/** Gives orders to model engines. Thread-safe. */
public interface EngineControl {

  /**
   * Says how a copy ended.
   *
   * @param outcome how it ended
   * @param handle the copy; empty where there is none
   */
  record CopyResult(CopyOutcome outcome, String handle) {}

  /**
   * Copies the memory of a run to another engine.
   *
   * @param sourceAddress the engine that runs it
   * @param requestId the request
   * @param destinationAddress the engine that is to hold the copy
   * @param stop whether the run stops before the copy
   * @param deadlineMs when to give up
   * @return how it ended; it does not fail
   */
  CompletableFuture<CopyResult> copyRun(
      String sourceAddress,
      String requestId,
      String destinationAddress,
      boolean stop,
      long deadlineMs);

  /**
   * Asks an engine whether it is leaving.
   *
   * @param address the engine
   * @param deadlineMs when to give up
   * @return whether it is; false where it does not answer
   */
  CompletableFuture<Boolean> isLeaving(String address, long deadlineMs);

  /**
   * Frees a copy at both engines.
   *
   * @param sourceAddress the engine that it was copied from
   * @param handle the copy
   */
  void releaseCopy(String sourceAddress, String handle);
}
