package org.sequoiareach.decision.event;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.RequestSpec;

/** Is an event in the life of a request or of an attempt at it. */
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
   * A caller's request has been read and authenticated by this daemon.
   *
   * @param nowMs when it was observed
   * @param spec the request
   * @param deadlineMs when the caller must have its final answer, on this daemon's clock
   */
  record RequestArrived(long nowMs, RequestSpec spec, long deadlineMs) implements RequestEvent {}

  /**
   * The caller has cancelled the request or closed its connection.
   *
   * @param nowMs when it was observed
   * @param requestId the request
   */
  record RequestCancelled(long nowMs, String requestId) implements RequestEvent {}

  /**
   * The caller's connection was lost after tokens were delivered. The generation goes on, so that
   * the caller can resume it through any daemon.
   *
   * @param nowMs when it was observed
   * @param requestId the request
   */
  record CallerDetached(long nowMs, String requestId) implements RequestEvent {}

  /**
   * The key-value service has answered the claim of a request that may not be repeated.
   *
   * @param nowMs when it was observed
   * @param requestId the request
   * @param result the answer
   */
  record ClaimAnswered(long nowMs, String requestId, ClaimResult result) implements RequestEvent {}

  /**
   * Another daemon asks this one, as owner of a target, to place an attempt there.
   *
   * @param nowMs when it was observed
   * @param fromDaemon the daemon that took the request
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
   * The daemon that forwarded an attempt here no longer reads it, or its connection was lost.
   *
   * @param nowMs when it was observed
   * @param attemptId the attempt
   * @param keepGeneration whether a generation that runs goes on, to be resumed directly
   */
  record ForwardedAttemptCancelled(long nowMs, String attemptId, boolean keepGeneration)
      implements RequestEvent {}

  /**
   * The first token of the attempt, or the answer's head, was received.
   *
   * @param nowMs when it was observed
   * @param attemptId the attempt
   * @param targetId the target that runs it
   */
  record AttemptStarted(long nowMs, String attemptId, String targetId) implements RequestEvent {}

  /**
   * More tokens were received. Sent now and then, not for every token.
   *
   * @param nowMs when it was observed
   * @param attemptId the attempt
   * @param tokens tokens received since the attempt started
   * @param slowestGapMs the longest time between two tokens since the last such event
   */
  record AttemptProgressed(long nowMs, String attemptId, int tokens, long slowestGapMs)
      implements RequestEvent {}

  /**
   * The attempt is over, in success or failure.
   *
   * @param nowMs when it was observed
   * @param attemptId the attempt
   * @param outcome how it ended
   */
  record AttemptEnded(long nowMs, String attemptId, Outcome outcome) implements RequestEvent {}
}
