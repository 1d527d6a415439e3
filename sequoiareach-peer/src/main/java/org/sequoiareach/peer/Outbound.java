package org.sequoiareach.peer;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/**
 * Holds one encoded message on its way out.
 *
 * @param message the message
 * @param payload its encoded form
 * @param queuedMs when it was handed to the transport
 * @param sent completed when it was written, failed otherwise
 */
record Outbound(PeerMessage message, byte[] payload, long queuedMs, CompletableFuture<Void> sent) {

  /**
   * Fails the message as never written.
   *
   * @param reason why
   * @param text a sentence on it
   */
  void failNotRun(Reason reason, String text) {
    fail(Verdict.NOT_RUN, reason, text);
  }

  /**
   * Fails the message as possibly written.
   *
   * @param text a sentence on it
   */
  void failMayHaveRun(String text) {
    fail(Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED, text);
  }

  /**
   * Brings the remaining time that the message carries up to date.
   *
   * @param nowMs the time at which it is written
   * @return this message or a copy with less time; empty where the time has passed and the message
   *     has failed
   */
  Optional<Outbound> refreshed(long nowMs) {
    long waitedMs = nowMs - queuedMs;
    if (waitedMs <= 0 || !(message instanceof AttemptMessage.OpenAttempt open)) {
      return Optional.of(this);
    }
    if (open.remainingMs() <= waitedMs) {
      failNotRun(Reason.DEADLINE, "The deadline passed before the attempt reached the owner.");
      return Optional.empty();
    }
    PeerMessage aged = open.withRemainingMs(open.remainingMs() - waitedMs);
    return Optional.of(new Outbound(aged, PeerCodec.encode(aged), nowMs, sent));
  }

  private void fail(Verdict verdict, Reason reason, String text) {
    sent.completeExceptionally(
        new RequestFailedException(verdict, reason, text, OptionalLong.empty()));
  }
}
