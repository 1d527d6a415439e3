package org.sequoiareach.decision.event;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.RequestSpec;

/** Event in the lifecycle of a request or of an attempt at it. */
@JsonSubTypes({
  @JsonSubTypes.Type(RequestEvent.RequestArrived.class),
  @JsonSubTypes.Type(RequestEvent.RequestCancelled.class),
  @JsonSubTypes.Type(RequestEvent.CallerDetached.class),
  @JsonSubTypes.Type(RequestEvent.ClaimAnswered.class),
  @JsonSubTypes.Type(RequestEvent.AttemptForwarded.class),
  @JsonSubTypes.Type(RequestEvent.ForwardedAttemptCancelled.class),
  @JsonSubTypes.Type(RequestEvent.AttemptStarted.class),
  @JsonSubTypes.Type(RequestEvent.AttemptProgressed.class),
  @JsonSubTypes.Type(RequestEvent.AttemptEnded.class)
})
public interface RequestEvent extends Event {

  /**
   * This daemon has read and authenticated a caller's request.
   *
   * @param nowMs the time of observation
   * @param spec the request
   * @param deadlineMs the latest time for the final answer, on this daemon's clock
   */
  record RequestArrived(long nowMs, RequestSpec spec, long deadlineMs) implements RequestEvent {}

  /**
   * The caller has cancelled the request or closed its connection.
   *
   * @param nowMs the time of observation
   * @param requestId the request
   */
  record RequestCancelled(long nowMs, String requestId) implements RequestEvent {}

  /**
   * The caller's connection was lost after tokens were delivered. The generation continues, so that
   * the caller can resume it through any daemon.
   *
   * @param nowMs the time of observation
   * @param requestId the request
   */
  record CallerDetached(long nowMs, String requestId) implements RequestEvent {}

  /**
   * The claim of the idempotency key of a non-repeatable request has a result.
   *
   * @param nowMs the time of observation
   * @param requestId the request
   * @param result the result
   */
  record ClaimAnswered(long nowMs, String requestId, ClaimResult result) implements RequestEvent {}

  /**
   * Another daemon forwarded an attempt on a target that this daemon owns.
   *
   * @param nowMs the time of observation
   * @param fromDaemon the daemon that received the request from its caller
   * @param attemptId the attempt
   * @param targetId the target
   * @param spec the request
   * @param priority the organisation's priority under the sheet of the request
   * @param sheetVersion the version of the sheet the request was admitted under
   * @param deadlineMs the request's deadline, on this daemon's clock
   */
  record AttemptForwarded(
      long nowMs,
      String fromDaemon,
      String attemptId,
      String targetId,
      RequestSpec spec,
      int priority,
      long sheetVersion,
      long deadlineMs)
      implements RequestEvent {}

  /**
   * The daemon that forwarded an attempt no longer reads it, or the connection to it was lost.
   *
   * @param nowMs the time of observation
   * @param attemptId the attempt
   * @param keepGeneration whether a running generation continues, so that it can be resumed
   *     directly
   */
  record ForwardedAttemptCancelled(long nowMs, String attemptId, boolean keepGeneration)
      implements RequestEvent {}

  /**
   * The first token of the attempt, or the head of its answer, was received.
   *
   * @param nowMs the time of observation
   * @param attemptId the attempt
   * @param targetId the target that runs it
   */
  record AttemptStarted(long nowMs, String attemptId, String targetId) implements RequestEvent {}

  /**
   * More tokens were received. Sent occasionally, not for every token.
   *
   * @param nowMs the time of observation
   * @param attemptId the attempt
   * @param tokens the number of tokens received since the attempt started
   * @param slowestGapMs the longest time between two tokens since the last such event
   */
  record AttemptProgressed(long nowMs, String attemptId, int tokens, long slowestGapMs)
      implements RequestEvent {}

  /**
   * The attempt has succeeded or failed.
   *
   * @param nowMs the time of observation
   * @param attemptId the attempt
   * @param outcome the outcome
   */
  record AttemptEnded(long nowMs, String attemptId, Outcome outcome) implements RequestEvent {}
}
