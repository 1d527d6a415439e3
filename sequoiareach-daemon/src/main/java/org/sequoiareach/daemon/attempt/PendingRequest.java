package org.sequoiareach.daemon.attempt;

import java.util.OptionalLong;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * A caller's request in progress, whose successive attempts are merged into a single answer.
 *
 * <p>Attempts are subscribed to one after another with the caller's demand, so that backpressure of
 * a slow caller reaches the target and no parts accumulate in memory. Thread-safe.
 */
public final class PendingRequest implements AnswerReceiver {

  private final RequestSpec spec;
  private final RequestContent content;
  private final GenerationSequenceFilter filter;
  private final Sinks.Many<Flux<AnswerPart>> attempts =
      Sinks.many().unicast().onBackpressureBuffer();

  /**
   * Creates a request without attempts.
   *
   * @param spec the properties that routing decisions use
   * @param content the request as it is sent to the target
   */
  public PendingRequest(RequestSpec spec, RequestContent content) {
    this.spec = spec;
    this.content = content;
    this.filter = new GenerationSequenceFilter(spec.streamed());
  }

  /**
   * Returns the properties that routing decisions use.
   *
   * @return the specification
   */
  public RequestSpec spec() {
    return spec;
  }

  @Override
  public RequestKind kind() {
    return spec.kind();
  }

  @Override
  public RequestContent content() {
    return content;
  }

  /**
   * Returns the answer, which can be subscribed to once.
   *
   * @return the parts up to and including the end; fails with {@link RequestFailedException}
   */
  public Flux<AnswerPart> answer() {
    return attempts
        .asFlux()
        .concatMap(attempt -> attempt, 0)
        .takeUntil(part -> part instanceof AnswerPart.End)
        .switchIfEmpty(Flux.error(PendingRequest::endedWithoutAnswer));
  }

  @Override
  public boolean tryAccept(AnswerPart.Data part) {
    return filter.tryAccept(part);
  }

  @Override
  public void verifyComplete(String attemptId, AnswerPart.End end) {
    if (kind() == RequestKind.GENERATION) {
      filter.verifyEnd(attemptId, end.tokens());
    }
  }

  @Override
  public long lastSequence(String attemptId) {
    return filter.lastSequence(attemptId);
  }

  /**
   * Adds an attempt. A failure ends only the attempt itself: the reducer receives it as an event
   * and then adds another attempt or fails the request.
   */
  @Override
  public void addAttempt(Flux<AnswerPart> attempt) {
    emit(attempt.onErrorResume(thrown -> Flux.empty()));
  }

  /**
   * Ends the request with a failure.
   *
   * @param failure the failure
   */
  public void fail(RequestFailedException failure) {
    emit(Flux.error(failure));
    attempts.tryEmitComplete();
  }

  /**
   * Returns whether the caller can resume the generation because it has received tokens of it.
   *
   * @return true once the first token of a streamed answer was delivered
   */
  public boolean isResumable() {
    return spec.streamed() && filter.hasDelivered();
  }

  private synchronized void emit(Flux<AnswerPart> attempt) {
    attempts.tryEmitNext(attempt);
  }

  private static RequestFailedException endedWithoutAnswer() {
    return new RequestFailedException(
        Verdict.MAY_HAVE_RUN,
        Reason.INTERNAL,
        "the request ended without an answer and without a failure",
        OptionalLong.empty());
  }
}
