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
 * Joins the attempts at one request into the one answer its caller sees.
 *
 * <p>Attempts are subscribed to one after another, with the caller's own demand, so that a slow
 * caller slows its target and fills no memory here. Thread-safe.
 */
public final class Exchange implements AnswerReceiver {

  private final RequestSpec spec;
  private final RequestContent content;
  private final GenerationGuard guard;
  private final Sinks.Many<Flux<AnswerPart>> attempts =
      Sinks.many().unicast().onBackpressureBuffer();

  /**
   * Creates an exchange without attempts.
   *
   * @param spec the request
   * @param content what is sent to its target
   */
  public Exchange(RequestSpec spec, RequestContent content) {
    this.spec = spec;
    this.content = content;
    this.guard = new GenerationGuard(spec.streamed());
  }

  /**
   * Returns the request.
   *
   * @return the request
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
   * Returns the answer. It can be subscribed to once.
   *
   * @return parts up to the end; fails with {@link RequestFailedException}
   */
  public Flux<AnswerPart> answer() {
    return attempts
        .asFlux()
        .concatMap(attempt -> attempt, 0)
        .takeUntil(part -> part instanceof AnswerPart.End)
        .switchIfEmpty(Flux.error(Exchange::unanswered));
  }

  @Override
  public boolean admits(AnswerPart.Data part) {
    return guard.admits(part);
  }

  @Override
  public void requireWhole(String attemptId, AnswerPart.End end) {
    if (kind() == RequestKind.GENERATION) {
      guard.requireEnd(attemptId, end.tokens());
    }
  }

  @Override
  public long lastSequence(String attemptId) {
    return guard.lastSequence(attemptId);
  }

  /**
   * Adds an attempt. Its failure ends the attempt alone: the reducer is told of it and adds another
   * attempt or gives the final answer.
   */
  @Override
  public void add(Flux<AnswerPart> attempt) {
    emit(attempt.onErrorResume(thrown -> Flux.empty()));
  }

  /**
   * Gives the caller its final answer: a failure.
   *
   * @param failure the failure
   */
  public void fail(RequestFailedException failure) {
    emit(Flux.error(failure));
    attempts.tryEmitComplete();
  }

  /**
   * Tells whether the caller has seen tokens and so can resume the generation.
   *
   * @return true once the first token of a stream was delivered
   */
  public boolean isResumable() {
    return spec.streamed() && guard.hasDelivered();
  }

  private synchronized void emit(Flux<AnswerPart> attempt) {
    attempts.tryEmitNext(attempt);
  }

  private static RequestFailedException unanswered() {
    return new RequestFailedException(
        Verdict.MAY_HAVE_RUN,
        Reason.INTERNAL,
        "the request ended without an answer",
        OptionalLong.empty());
  }
}
