package org.sequoiareach.daemon.peer;

import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.daemon.attempt.AnswerReceiver;
import org.sequoiareach.daemon.attempt.RequestFailures;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.peer.AttemptMessage;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Signal;

/**
 * Relays the answer of an attempt to the daemon that forwarded it. Each part is written before the
 * next is requested, so that backpressure of a slow caller of that daemon reaches the target.
 */
final class ForwardedAnswerRelay implements AnswerReceiver {

  /** The number of parts requested from the target ahead of the one being written. */
  private static final int PREFETCH = 8;

  private final AttemptMessage.OpenAttempt opened;
  private final MessageSender sender;

  /**
   * Creates a relay for an attempt that has not started.
   *
   * @param opened the message that opened the attempt
   * @param sender sends messages to the daemon that forwarded it
   */
  ForwardedAnswerRelay(AttemptMessage.OpenAttempt opened, MessageSender sender) {
    this.opened = opened;
    this.sender = sender;
  }

  /** Sends messages about an attempt to the daemon that forwarded it. */
  interface MessageSender {

    Mono<Void> send(AttemptMessage message);

    void end(Outcome outcome);
  }

  @Override
  public RequestKind kind() {
    return opened.spec().kind();
  }

  @Override
  public RequestContent content() {
    return new RequestContent(opened.method(), opened.path(), opened.headers(), opened.body());
  }

  /** Accepts every part, because the daemon that serves the caller checks the order. */
  @Override
  public boolean tryAccept(AnswerPart.Data part) {
    return true;
  }

  /** Accepts every end, because the daemon that serves the caller verifies it. */
  @Override
  public void verifyComplete(String attemptId, AnswerPart.End end) {
    // Verified by the daemon that serves the caller.
  }

  @Override
  public long lastSequence(String attemptId) {
    return 0;
  }

  @Override
  public void addAttempt(Flux<AnswerPart> attempt) {
    attempt
        // Keeps a failure behind the parts that wait to be written.
        .materialize()
        .concatMap(this::relay, PREFETCH)
        .subscribe(
            nothing -> {},
            thrown -> sender.end(RequestFailures.toOutcome(RequestFailures.classify(thrown))));
  }

  private Mono<Void> relay(Signal<AnswerPart> signal) {
    if (signal.isOnError()) {
      return Mono.error(signal.getThrowable());
    }
    return signal.hasValue() ? relay(signal.get()) : Mono.empty();
  }

  private Mono<Void> relay(AnswerPart part) {
    String attemptId = opened.attemptId();
    if (part instanceof AnswerPart.Data data) {
      int tokens = kind() == RequestKind.GENERATION ? 1 : 0;
      return sender
          .send(new AttemptMessage.AttemptData(attemptId, data.sequence(), data.payload(), tokens))
          .onErrorMap(ForwardedAnswerRelay::toAttemptFailure);
    }
    if (part instanceof AnswerPart.End end) {
      sender.end(Outcome.finished(end.tokens()));
    }
    return Mono.empty();
  }

  /** Converts the failure of a message, whose verdict says nothing about the attempt. */
  private static RequestFailedException toAttemptFailure(Throwable thrown) {
    RequestFailedException failure = RequestFailures.classify(thrown);
    return new RequestFailedException(
        Verdict.MAY_HAVE_RUN, failure.reason(), failure.getMessage(), failure.retryAfterMs());
  }
}
