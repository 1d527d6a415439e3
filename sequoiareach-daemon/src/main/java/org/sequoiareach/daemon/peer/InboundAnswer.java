package org.sequoiareach.daemon.peer;

import java.util.function.IntConsumer;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.attempt.RequestFailures;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.peer.AttemptMessage;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Buffers the parts of an answer received from the daemon that owns the target until the caller
 * takes them. The credit granted to the owner bounds the size of the buffer. Thread-safe.
 */
final class InboundAnswer {

  private final String daemonId;
  private final String targetId;
  private final IntConsumer creditGranter;
  private final Sinks.Many<AnswerPart> parts = Sinks.many().unicast().onBackpressureBuffer();
  private volatile boolean sent;

  /**
   * Creates an answer of which nothing has been received.
   *
   * @param daemonId the daemon that owns the target
   * @param targetId the target
   * @param creditGranter allows the owner to send the given number of bytes more
   */
  InboundAnswer(String daemonId, String targetId, IntConsumer creditGranter) {
    this.daemonId = daemonId;
    this.targetId = targetId;
    this.creditGranter = creditGranter;
  }

  void markSent() {
    sent = true;
  }

  /** Returns whether the message that opens the attempt was written to a connection. */
  boolean isSent() {
    return sent;
  }

  String daemonId() {
    return daemonId;
  }

  /** Returns the parts. Credit is granted to the owner as the parts are consumed. */
  Flux<AnswerPart> parts() {
    return parts.asFlux().doOnNext(this::grantCredit);
  }

  synchronized void onHead(AttemptMessage.AttemptHead head) {
    parts.tryEmitNext(new AnswerPart.Head(head.status(), head.headers()));
  }

  synchronized void onData(AttemptMessage.AttemptData data) {
    parts.tryEmitNext(
        new AnswerPart.Data(targetId, data.attemptId(), data.sequence(), data.payload()));
  }

  synchronized void onEnd(Outcome outcome) {
    if (!outcome.succeeded()) {
      parts.tryEmitError(RequestFailures.toException(outcome));
      return;
    }
    parts.tryEmitNext(new AnswerPart.End(outcome.tokens()));
    parts.tryEmitComplete();
  }

  private void grantCredit(AnswerPart part) {
    if (part instanceof AnswerPart.Data data && data.payload().length > 0) {
      creditGranter.accept(data.payload().length);
    }
  }
}
