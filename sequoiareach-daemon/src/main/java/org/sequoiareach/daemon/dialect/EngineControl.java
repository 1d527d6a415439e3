package org.sequoiareach.daemon.dialect;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.sequoiareach.decision.dispatch.CopyOutcome;

/** Controls model engines: queries their state and moves running generations. Thread-safe. */
public interface EngineControl {

  /**
   * The result of copying the memory of a run.
   *
   * @param outcome the outcome
   * @param handle the handle of the copy; empty if there is none
   */
  record CopyResult(CopyOutcome outcome, String handle) {}

  /** The state of an engine as seen by a query. */
  enum EngineState {
    /** The engine accepts requests. */
    AVAILABLE,
    /** The engine announces that it is leaving. */
    LEAVING,
    /** Nothing listens at the address of the engine. */
    NOBODY_THERE,
    /** The engine answered with bytes that are no report. */
    INVALID,
    /** The engine did not answer, or its answer does not tell its state. */
    UNKNOWN
  }

  /**
   * The answer to a query of an engine's state.
   *
   * @param state the state
   * @param retryAfterMs the time for which the engine asks to be sent nothing, in milliseconds; 0
   *     if it does not ask for it
   * @param coldMs how long the engine stays cold, in milliseconds; empty if not stated
   */
  record EngineReport(EngineState state, long retryAfterMs, OptionalLong coldMs) {

    /** Creates a report that does not state whether the engine is cold. */
    public EngineReport(EngineState state, long retryAfterMs) {
      this(state, retryAfterMs, OptionalLong.empty());
    }
  }

  /**
   * Copies the memory of a run to another engine.
   *
   * @param sourceAddress the address of the engine that executes the run
   * @param requestId the request
   * @param destinationAddress the engine that receives the copy
   * @param stop whether to stop the run before copying
   * @param deadlineMs the deadline, in milliseconds of the monotonic clock
   * @return the result; the future never completes exceptionally
   */
  CompletableFuture<CopyResult> copyRun(
      String sourceAddress,
      String requestId,
      String destinationAddress,
      boolean stop,
      long deadlineMs);

  /**
   * Queries whether an engine is available or leaving.
   *
   * @param address the address of the engine
   * @param deadlineMs the deadline, in milliseconds of the monotonic clock
   * @return the report; the future never completes exceptionally
   */
  CompletableFuture<EngineReport> queryState(String address, long deadlineMs);

  /**
   * Releases a copy at both engines.
   *
   * @param sourceAddress the address of the engine that it was copied from
   * @param handle the handle of the copy
   */
  void releaseCopy(String sourceAddress, String handle);
}
