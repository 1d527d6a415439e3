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

  /** Says what asking an engine has shown. */
  enum EngineState {
    /** It takes requests. */
    AVAILABLE,
    /** It says that it is leaving. */
    LEAVING,
    /** Nothing listens at its address. */
    NOBODY_THERE,
    /** It gave no answer, or one that cannot be read. */
    UNKNOWN
  }

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
   * @return its state; it does not fail
   */
  CompletableFuture<EngineState> ask(String address, long deadlineMs);

  /**
   * Frees a copy at both engines.
   *
   * @param sourceAddress the engine that it was copied from
   * @param handle the copy
   */
  void releaseCopy(String sourceAddress, String handle);
}
