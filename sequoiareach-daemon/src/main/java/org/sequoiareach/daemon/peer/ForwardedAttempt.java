package org.sequoiareach.daemon.peer;

import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.daemon.attempt.AnswerReceiver;
import org.sequoiareach.daemon.attempt.Failures;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.peer.AttemptMessage;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Relays the answer of an attempt to the daemon that forwarded it. Each part is written before the
 * next is asked for, so that a slow caller there slows the target.
 */
final class ForwardedAttempt implements AnswerReceiver {

  /** Parts asked of the target ahead of the one being written. */
  private static final int PREFETCH = 8;

  private final AttemptMessage.OpenAttempt opened;
  private final MessageSender sender;

  /**
   * Creates an attempt that is not placed yet.
   *
   * @param opened the message that opened it
   * @param sender sends messages to the daemon it came from
   */
  ForwardedAttempt(AttemptMessage.OpenAttempt opened, MessageSender sender) {
    this.opened = opened;
    this.sender = sender;
  }

  /** Sends messages about one attempt to the daemon that forwarded it. */
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

  /** Passes every part: the daemon of the caller guards the order. */
  @Override
  public boolean admits(AnswerPart.Data part) {
    return true;
  }

  /** Passes every end: the daemon of the caller checks it. */
  @Override
  public void requireWhole(String attemptId, AnswerPart.End end) {
    // Nothing to check here.
  }

  @Override
  public long lastSequence(String attemptId) {
    return 0;
  }

  @Override
  public void add(Flux<AnswerPart> attempt) {
    attempt
        .concatMap(this::relay, PREFETCH)
        .subscribe(
            nothing -> {}, thrown -> sender.end(Failures.outcome(Failures.classify(thrown))));
  }

  private Mono<Void> relay(AnswerPart part) {
    String attemptId = opened.attemptId();
    if (part instanceof AnswerPart.Data data) {
      int tokens = kind() == RequestKind.GENERATION ? 1 : 0;
      return sender.send(
          new AttemptMessage.AttemptData(attemptId, data.sequence(), data.payload(), tokens));
    }
    if (part instanceof AnswerPart.End end) {
      sender.end(Outcome.finished(end.tokens()));
    }
    return Mono.empty();
  }
}
