package org.sequoiareach.decision.dispatch;

/** An event about the progress of a stream that is forwarded to its caller. */
public interface StreamEvent extends DispatchEvent {

  /**
   * Events of a generation were received; reported about once a second and at its end.
   *
   * @param nowMs when it was observed
   * @param callId the identifier of the call
   * @param attempt the number of the attempt
   * @param events the number of events after the first one or after the report before
   * @param durationMs the time in which they were received
   */
  record StreamProgressed(long nowMs, String callId, int attempt, int events, long durationMs)
      implements StreamEvent {}
}
