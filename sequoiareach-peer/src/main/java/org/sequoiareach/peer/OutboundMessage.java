package org.sequoiareach.peer;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/**
 * Encoded message that is queued for sending.
 *
 * @param message the message
 * @param payload the encoded message
 * @param queuedMs when the message was passed to the transport, in milliseconds of the monotonic
 *     clock
 * @param sent completes when the message was written, or fails if it was not
 */
record OutboundMessage(
    PeerMessage message, byte[] payload, long queuedMs, CompletableFuture<Void> sent) {

  /**
   * Fails the message with the verdict that no byte of it was written.
   *
   * @param reason the reason
   * @param text a description of the failure
   */
  void failNotRun(Reason reason, String text) {
    fail(Verdict.NOT_RUN, reason, text);
  }

  /**
   * Fails the message with the verdict that it may have been written.
   *
   * @param text a description of the failure
   */
  void failMayHaveRun(String text) {
    fail(Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED, text);
  }

  /**
   * Deducts the time spent in the queue from the remaining time of an {@link
   * AttemptMessage.OpenAttempt}. Other messages are returned unchanged. A message whose time has
   * run out fails.
   *
   * @param nowMs the current time, in milliseconds of the monotonic clock
   * @return this message or an updated copy; empty if the message has failed
   */
  Optional<OutboundMessage> withUpdatedRemainingTime(long nowMs) {
    long waitedMs = nowMs - queuedMs;
    if (waitedMs <= 0 || !(message instanceof AttemptMessage.OpenAttempt open)) {
      return Optional.of(this);
    }
    if (open.remainingMs() <= waitedMs) {
      String text =
          "The deadline of attempt "
              + open.attemptId()
              + " passed after "
              + waitedMs
              + " ms in the send queue.";
      failNotRun(Reason.DEADLINE, text);
      return Optional.empty();
    }
    PeerMessage updated = open.withRemainingMs(open.remainingMs() - waitedMs);
    return Optional.of(new OutboundMessage(updated, PeerCodec.encode(updated), nowMs, sent));
  }

  private void fail(Verdict verdict, Reason reason, String text) {
    sent.completeExceptionally(
        new RequestFailedException(verdict, reason, text, OptionalLong.empty()));
  }
}
