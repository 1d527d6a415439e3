package org.sequoiareach.daemon.peer;

import java.util.function.IntConsumer;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.attempt.Failures;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.peer.AttemptMessage;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Holds parts of one answer that have come from an owner and wait for their caller. The credit
 * granted to the owner bounds what can wait. Thread-safe.
 */
final class InboundAnswer {

  private final String daemonId;
  private final String targetId;
  private final IntConsumer credit;
  private final Sinks.Many<AnswerPart> parts = Sinks.many().unicast().onBackpressureBuffer();
  private volatile boolean sent;

  /**
   * Creates an answer of which nothing has come.
   *
   * @param daemonId the owner
   * @param targetId the target
   * @param credit grants the owner so many bytes more
   */
  InboundAnswer(String daemonId, String targetId, IntConsumer credit) {
    this.daemonId = daemonId;
    this.targetId = targetId;
    this.credit = credit;
  }

  void markSent() {
    sent = true;
  }

  /** Tells whether the message that opens the attempt was written to a connection. */
  boolean isSent() {
    return sent;
  }

  String daemonId() {
    return daemonId;
  }

  /** Returns the parts; credit is granted as they are taken. */
  Flux<AnswerPart> parts() {
    return parts.asFlux().doOnNext(this::grant);
  }

  synchronized void head(AttemptMessage.AttemptHead head) {
    parts.tryEmitNext(new AnswerPart.Head(head.status(), head.headers()));
  }

  synchronized void data(AttemptMessage.AttemptData data) {
    parts.tryEmitNext(
        new AnswerPart.Data(targetId, data.attemptId(), data.sequence(), data.payload()));
  }

  synchronized void end(Outcome outcome) {
    if (!outcome.succeeded()) {
      parts.tryEmitError(Failures.failure(outcome));
      return;
    }
    parts.tryEmitNext(new AnswerPart.End(outcome.tokens()));
    parts.tryEmitComplete();
  }

  private void grant(AnswerPart part) {
    if (part instanceof AnswerPart.Data data && data.payload().length > 0) {
      credit.accept(data.payload().length);
    }
  }
}
