package org.sequoiareach.daemon.attempt;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.daemon.target.EngineClient;
import org.sequoiareach.daemon.target.ServiceClient;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.platform.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Runs attempts against targets and tells the reducer how they go. Thread-safe. */
public final class AttemptRunner implements EffectHandler {

  private final Map<String, Exchange> exchanges = new ConcurrentHashMap<>();
  private final Map<String, RunningAttempt> running = new ConcurrentHashMap<>();
  private final EngineClient engines;
  private final ServiceClient services;
  private final EventSink events;
  private final MetricRegistry metrics;

  /**
   * Creates a runner.
   *
   * @param engines the client of model engines
   * @param services the client of plain services
   * @param events the reducer's sink
   * @param metrics the registry for metrics of attempts
   */
  public AttemptRunner(
      EngineClient engines, ServiceClient services, EventSink events, MetricRegistry metrics) {
    this.engines = engines;
    this.services = services;
    this.events = events;
    this.metrics = metrics;
    metrics.gauge("exchanges", () -> exchanges::size);
  }

  /**
   * Registers a request before it is told to the reducer.
   *
   * @param exchange the request and its answer
   */
  public void open(Exchange exchange) {
    exchanges.put(exchange.spec().requestId(), exchange);
  }

  /**
   * Forgets a request whose answer is over.
   *
   * @param requestId the request
   */
  public void close(String requestId) {
    exchanges.remove(requestId);
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.Dispatch dispatch) {
      dispatch(dispatch);
    } else if (effect instanceof Effect.Resume resume) {
      resume(resume);
    } else if (effect instanceof Effect.CancelAttempt cancel) {
      cancel(cancel.attemptId());
    } else if (effect instanceof Effect.FailRequest failure) {
      fail(failure);
    }
  }

  private void dispatch(Effect.Dispatch dispatch) {
    Exchange exchange = exchanges.get(dispatch.requestId());
    if (exchange == null) {
      String message = "the request is no longer known here";
      ended(dispatch.attemptId(), Outcome.failed(Verdict.NOT_RUN, Reason.CANCELLED, message));
      return;
    }
    Flux<AnswerPart> parts = Flux.defer(() -> send(dispatch, exchange));
    add(exchange, dispatch.attemptId(), dispatch.targetId(), dispatch.address(), parts);
  }

  private Flux<AnswerPart> send(Effect.Dispatch dispatch, Exchange exchange) {
    if (MonotonicClock.nowMs() > dispatch.sendByMs()) {
      return Flux.error(
          new RequestFailedException(
              Verdict.NOT_RUN,
              Reason.NOT_READY,
              "the decision to send to " + dispatch.targetId() + " is too old",
              OptionalLong.empty()));
    }
    if (exchange.spec().kind() == RequestKind.SERVICE_CALL) {
      return services.call(dispatch, exchange.content());
    }
    return engines.generate(dispatch, exchange.content());
  }

  private void resume(Effect.Resume resume) {
    Exchange exchange = exchanges.get(resume.requestId());
    if (exchange == null) {
      String message = "the request is no longer known here";
      ended(resume.attemptId(), Outcome.failed(Verdict.MAY_HAVE_RUN, Reason.CANCELLED, message));
      return;
    }
    metrics.meter("attempts.resumed").mark();
    long waitMs = Math.max(0, resume.notBeforeMs() - MonotonicClock.nowMs());
    Flux<AnswerPart> parts =
        Mono.delay(Duration.ofMillis(waitMs)).thenMany(Flux.defer(() -> readOn(resume, exchange)));
    add(exchange, resume.attemptId(), resume.targetId(), resume.address(), parts);
  }

  private Flux<AnswerPart> readOn(Effect.Resume resume, Exchange exchange) {
    long after = exchange.guard().lastSequence(resume.attemptId());
    return engines.resume(resume.targetId(), resume.address(), resume.attemptId(), after);
  }

  private void add(
      Exchange exchange,
      String attemptId,
      String targetId,
      String address,
      Flux<AnswerPart> parts) {
    RunningAttempt attempt = new RunningAttempt(address, exchange.spec().kind());
    running.put(attemptId, attempt);
    ProgressMeter meter = new ProgressMeter(attemptId, targetId, events);
    Flux<AnswerPart> watched =
        parts
            .filter(part -> !(part instanceof AnswerPart.Data d) || exchange.guard().admits(d))
            .doOnNext(meter::received)
            .doOnNext(part -> endIfWhole(attemptId, part))
            .onErrorResume(thrown -> endInFailure(attemptId, thrown))
            .doFinally(signal -> running.remove(attemptId, attempt))
            .takeUntilOther(attempt.cancelled.asMono());
    exchange.add(watched);
  }

  private void endIfWhole(String attemptId, AnswerPart part) {
    if (part instanceof AnswerPart.End end) {
      ended(attemptId, Outcome.finished(end.tokens()));
    }
  }

  private Mono<AnswerPart> endInFailure(String attemptId, Throwable thrown) {
    RequestFailedException failure = Failures.classify(thrown);
    metrics.meter("attempts.failed." + failure.reason().label()).mark();
    ended(
        attemptId,
        new Outcome(
            failure.verdict(),
            Optional.of(failure.reason()),
            failure.getMessage(),
            0,
            failure.retryAfterMs().orElse(0)));
    return Mono.empty();
  }

  private void cancel(String attemptId) {
    RunningAttempt attempt = running.remove(attemptId);
    if (attempt == null) {
      return;
    }
    attempt.cancelled.tryEmitEmpty();
    if (attempt.kind == RequestKind.GENERATION) {
      engines.cancel(attempt.address, attemptId).subscribe();
    }
  }

  private void fail(Effect.FailRequest failure) {
    Exchange exchange = exchanges.remove(failure.requestId());
    if (exchange == null) {
      return;
    }
    OptionalLong retryAfterMs =
        failure.retryAfterMs() > 0 ? OptionalLong.of(failure.retryAfterMs()) : OptionalLong.empty();
    exchange.fail(
        new RequestFailedException(
            failure.verdict(), failure.reason(), failure.message(), retryAfterMs));
  }

  private void ended(String attemptId, Outcome outcome) {
    events.post(new RequestEvent.AttemptEnded(MonotonicClock.nowMs(), attemptId, outcome));
  }

  /** Holds an attempt in progress. */
  private static final class RunningAttempt {

    private final String address;
    private final RequestKind kind;
    private final Sinks.Empty<Void> cancelled = Sinks.empty();

    private RunningAttempt(String address, RequestKind kind) {
      this.address = address;
      this.kind = kind;
    }
  }
}
