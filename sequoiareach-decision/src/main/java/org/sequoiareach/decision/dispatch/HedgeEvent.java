package org.sequoiareach.decision.dispatch;

/** An event about a call that may be, or is, sent to a second target. */
public interface HedgeEvent extends DispatchEvent {

  /**
   * The answer of one of two concurrent attempts is delivered; the other one was aborted or not
   * sent.
   *
   * @param nowMs when it was observed
   * @param callId the identifier of the call
   * @param attempt the number of the attempt whose answer is delivered
   */
  record AttemptWon(long nowMs, String callId, int attempt) implements HedgeEvent {}

  /**
   * A time for which a wake-up was requested has come.
   *
   * @param nowMs when it was observed
   */
  record WakeUp(long nowMs) implements HedgeEvent {}
}
