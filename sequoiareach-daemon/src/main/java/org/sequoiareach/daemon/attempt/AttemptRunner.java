package org.sequoiareach.daemon.attempt;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Map;
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
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Runs attempts against targets or through owners, and tells the reducer how they go. */
public final class AttemptRunner implements EffectHandler {

  private final Map<String, Exchange> exchanges = new ConcurrentHashMap<>();
  private final Map<String, AnswerReceiver> forwarded = new ConcurrentHashMap<>();
  private final Map<String, RunningAttempt> running = new ConcurrentHashMap<>();
  private final EngineClient engines;
  private final ServiceClient services;
  private final AttemptForwarder forwarder;
  private final EventSink events;
  private final MetricRegistry metrics;

  /**
   * Creates a runner.
   *
   * @param engines the client of model engines
   * @param services the client of plain services
   * @param forwarder sends attempts to the owners of their targets
   * @param events the reducer's sink
   * @param metrics the registry for metrics of attempts
   */
  public AttemptRunner(
      EngineClient engines,
      ServiceClient services,
      AttemptForwarder forwarder,
      EventSink events,
      MetricRegistry metrics) {
    this.engines = engines;
    this.services = services;
    this.forwarder = forwarder;
    this.events = events;
    this.metrics = metrics;
    metrics.gauge("requests.open", () -> exchanges::size);
    metrics.gauge("attempts.running", () -> running::size);
    metrics.gauge("attempts.forwarded-here", () -> forwarded::size);
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

  /**
   * Registers an attempt that another daemon forwarded here, before it is told to the reducer.
   *
   * @param attemptId the attempt
   * @param receiver takes its answer
   */
  public void openForwarded(String attemptId, AnswerReceiver receiver) {
    forwarded.put(attemptId, receiver);
  }

  /**
   * Forgets a forwarded attempt that is over.
   *
   * @param attemptId the attempt
   */
  public void closeForwarded(String attemptId) {
    forwarded.remove(attemptId);
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof Effect.Dispatch dispatch) {
      dispatch(dispatch);
    } else if (effect instanceof Effect.Forward forward) {
      forward(forward);
    } else if (effect instanceof Effect.Resume resume) {
      resume(resume);
    } else if (effect instanceof Effect.CancelAttempt cancel) {
      stop(cancel.attemptId(), false);
    } else if (effect instanceof Effect.ReleaseAttempt release) {
      stop(release.attemptId(), true);
    } else if (effect instanceof Effect.FailRequest failure) {
      fail(failure);
    }
  }

  private void dispatch(Effect.Dispatch dispatch) {
    String attemptId = dispatch.attemptId();
    AnswerReceiver receiver = forwarded.get(attemptId);
    if (receiver == null) {
      receiver = exchanges.get(dispatch.requestId());
    }
    if (receiver == null) {
      endUnknown(attemptId, Verdict.NOT_RUN);
      return;
    }
    AnswerReceiver known = receiver;
    boolean generation = receiver.kind() == RequestKind.GENERATION;
    StopAction stopping =
        keep -> {
          if (generation && !keep) {
            engines.cancel(dispatch.address(), attemptId).subscribe();
          }
        };
    add(receiver, attemptId, dispatch.targetId(), stopping, send(dispatch, known));
  }

  private Flux<AnswerPart> send(Effect.Dispatch dispatch, AnswerReceiver receiver) {
    return Flux.defer(
        () -> {
          if (MonotonicClock.nowMs() > dispatch.sendByMs()) {
            return Flux.error(tooOld(dispatch.targetId()));
          }
          if (receiver.kind() == RequestKind.SERVICE_CALL) {
            return services.call(dispatch, receiver.content());
          }
          return engines.generate(dispatch, receiver.content());
        });
  }

  private void forward(Effect.Forward forward) {
    Exchange exchange = exchanges.get(forward.spec().requestId());
    if (exchange == null) {
      endUnknown(forward.attemptId(), Verdict.NOT_RUN);
      return;
    }
    StopAction stopping = keep -> forwarder.stop(forward.attemptId(), keep);
    Flux<AnswerPart> parts = Flux.defer(() -> forwarder.forward(forward, exchange.content()));
    add(exchange, forward.attemptId(), forward.targetId(), stopping, parts);
  }

  private void resume(Effect.Resume resume) {
    Exchange exchange = exchanges.get(resume.requestId());
    if (exchange == null) {
      endUnknown(resume.attemptId(), Verdict.MAY_HAVE_RUN);
      return;
    }
    metrics.meter("attempts.resumed").mark();
    long waitMs = Math.max(0, resume.notBeforeMs() - MonotonicClock.nowMs());
    Flux<AnswerPart> parts =
        Mono.delay(Duration.ofMillis(waitMs)).thenMany(Flux.defer(() -> readOn(resume, exchange)));
    StopAction stopping =
        keep -> {
          if (!keep) {
            engines.cancel(resume.address(), resume.attemptId()).subscribe();
          }
        };
    add(exchange, resume.attemptId(), resume.targetId(), stopping, parts);
  }

  private Flux<AnswerPart> readOn(Effect.Resume resume, Exchange exchange) {
    long after = exchange.lastSequence(resume.attemptId());
    return engines.resume(resume.targetId(), resume.address(), resume.attemptId(), after);
  }

  private void add(
      AnswerReceiver receiver,
      String attemptId,
      String targetId,
      StopAction stopping,
      Flux<AnswerPart> parts) {
    RunningAttempt attempt = new RunningAttempt(stopping);
    running.put(attemptId, attempt);
    ProgressMeter meter = new ProgressMeter(attemptId, targetId, events);
    Flux<AnswerPart> watched =
        parts
            // What is admitted counts as delivered, so nothing may be dropped after that.
            .takeUntilOther(attempt.stopped.asMono())
            .filter(part -> !(part instanceof AnswerPart.Data data) || receiver.admits(data))
            .doOnNext(meter::received)
            .doOnNext(part -> endIfWhole(receiver, attemptId, part))
            .doOnError(thrown -> endInFailure(attemptId, thrown))
            .doFinally(signal -> running.remove(attemptId, attempt));
    receiver.add(watched);
  }

  private void endIfWhole(AnswerReceiver receiver, String attemptId, AnswerPart part) {
    if (part instanceof AnswerPart.End end) {
      receiver.requireWhole(attemptId, end);
      ended(attemptId, Outcome.finished(end.tokens()));
    }
  }

  private void endInFailure(String attemptId, Throwable thrown) {
    RequestFailedException failure = Failures.classify(thrown);
    metrics.meter("attempts.failed." + failure.reason().label()).mark();
    ended(attemptId, Failures.outcome(failure));
  }

  private void stop(String attemptId, boolean keepGeneration) {
    RunningAttempt attempt = running.remove(attemptId);
    if (attempt == null) {
      return;
    }
    attempt.stopped.tryEmitEmpty();
    attempt.stopping.stop(keepGeneration);
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

  private void endUnknown(String attemptId, Verdict verdict) {
    String message = "the request is no longer known here";
    ended(attemptId, Outcome.failed(verdict, Reason.CANCELLED, message));
  }

  private void ended(String attemptId, Outcome outcome) {
    events.post(new RequestEvent.AttemptEnded(MonotonicClock.nowMs(), attemptId, outcome));
  }

  private static RequestFailedException tooOld(String targetId) {
    return new RequestFailedException(
        Verdict.NOT_RUN,
        Reason.NOT_READY,
        "the decision to send to " + targetId + " is too old",
        OptionalLong.empty());
  }

  /** Stops an attempt where it runs. */
  @FunctionalInterface
  private interface StopAction {
    void stop(boolean keepGeneration);
  }

  /** Holds an attempt in progress. */
  private static final class RunningAttempt {

    private final StopAction stopping;
    private final Sinks.Empty<Void> stopped = Sinks.empty();

    private RunningAttempt(StopAction stopping) {
      this.stopping = stopping;
    }
  }
}
