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

/**
 * Runs attempts against the targets that this daemon owns or through the daemons that own them, and
 * reports their start, progress and end to the reducer. Thread-safe.
 */
public final class AttemptRunner implements EffectHandler {

  private final Map<String, PendingRequest> requests = new ConcurrentHashMap<>();
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
   * @param events receives events for the reducer
   * @param metrics the registry for the metrics of attempts
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
    metrics.gauge("requests.open", () -> requests::size);
    metrics.gauge("attempts.running", () -> running::size);
    metrics.gauge("attempts.forwarded-here", () -> forwarded::size);
  }

  /**
   * Registers a request. Must be called before the reducer receives the request.
   *
   * @param request the request
   */
  public void register(PendingRequest request) {
    requests.put(request.spec().requestId(), request);
  }

  /**
   * Removes a request whose answer has ended.
   *
   * @param requestId the request
   */
  public void unregister(String requestId) {
    requests.remove(requestId);
  }

  /**
   * Registers an attempt that another daemon forwarded to this one. Must be called before the
   * reducer receives the attempt.
   *
   * @param attemptId the attempt
   * @param receiver receives its answer
   */
  public void registerForwarded(String attemptId, AnswerReceiver receiver) {
    forwarded.put(attemptId, receiver);
  }

  /**
   * Removes a forwarded attempt that has ended.
   *
   * @param attemptId the attempt
   */
  public void unregisterForwarded(String attemptId) {
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
      receiver = requests.get(dispatch.requestId());
    }
    if (receiver == null) {
      failUnknownRequest(attemptId, Verdict.NOT_RUN);
      return;
    }
    AnswerReceiver found = receiver;
    boolean generation = receiver.kind() == RequestKind.GENERATION;
    StopAction stopAction =
        keepGeneration -> {
          if (generation && !keepGeneration) {
            cancelGeneration(dispatch.targetId(), dispatch.address(), attemptId);
          }
        };
    start(receiver, attemptId, dispatch.targetId(), stopAction, send(dispatch, found));
  }

  private Flux<AnswerPart> send(Effect.Dispatch dispatch, AnswerReceiver receiver) {
    return Flux.defer(
        () -> {
          if (MonotonicClock.nowMs() > dispatch.sendByMs()) {
            return Flux.error(dispatchExpired(dispatch.targetId()));
          }
          if (receiver.kind() == RequestKind.SERVICE_CALL) {
            return services.call(dispatch, receiver.content());
          }
          return engines.generate(dispatch, receiver.content());
        });
  }

  private void forward(Effect.Forward forward) {
    PendingRequest request = requests.get(forward.spec().requestId());
    if (request == null) {
      failUnknownRequest(forward.attemptId(), Verdict.NOT_RUN);
      return;
    }
    StopAction stopAction = keepGeneration -> forwarder.stop(forward.attemptId(), keepGeneration);
    Flux<AnswerPart> parts = Flux.defer(() -> forwarder.forward(forward, request.content()));
    start(request, forward.attemptId(), forward.targetId(), stopAction, parts);
  }

  private void resume(Effect.Resume resume) {
    PendingRequest request = requests.get(resume.requestId());
    if (request == null) {
      failUnknownRequest(resume.attemptId(), Verdict.MAY_HAVE_RUN);
      return;
    }
    metrics.meter("attempts.resumed").mark();
    long waitMs = Math.max(0, resume.notBeforeMs() - MonotonicClock.nowMs());
    Flux<AnswerPart> parts =
        Mono.delay(Duration.ofMillis(waitMs))
            .thenMany(Flux.defer(() -> resumeStream(resume, request)));
    StopAction stopAction =
        keepGeneration -> {
          if (!keepGeneration) {
            cancelGeneration(resume.targetId(), resume.address(), resume.attemptId());
          }
        };
    start(request, resume.attemptId(), resume.targetId(), stopAction, parts);
  }

  /** Cancels a generation; a failure is ignored, as the engine ends an abandoned one by itself. */
  private void cancelGeneration(String targetId, String address, String attemptId) {
    engines.cancel(targetId, address, attemptId).onErrorComplete().subscribe();
  }

  private Flux<AnswerPart> resumeStream(Effect.Resume resume, PendingRequest request) {
    long after = request.lastSequence(resume.attemptId());
    return engines.resume(resume.targetId(), resume.address(), resume.attemptId(), after);
  }

  private void start(
      AnswerReceiver receiver,
      String attemptId,
      String targetId,
      StopAction stopAction,
      Flux<AnswerPart> parts) {
    RunningAttempt attempt = new RunningAttempt(stopAction);
    running.put(attemptId, attempt);
    ProgressReporter progress = new ProgressReporter(attemptId, targetId, events);
    Flux<AnswerPart> answer =
        parts
            // Precedes the filter: accepted parts count as delivered and must not be dropped.
            .takeUntilOther(attempt.stopped.asMono())
            .filter(part -> !(part instanceof AnswerPart.Data data) || receiver.tryAccept(data))
            .doOnNext(progress::onPart)
            .doOnNext(part -> endIfComplete(receiver, attemptId, part))
            .doOnError(thrown -> endWithFailure(attemptId, thrown))
            .doFinally(signal -> running.remove(attemptId, attempt));
    receiver.addAttempt(answer);
  }

  private void endIfComplete(AnswerReceiver receiver, String attemptId, AnswerPart part) {
    if (part instanceof AnswerPart.End end) {
      receiver.verifyComplete(attemptId, end);
      postEnded(attemptId, Outcome.finished(end.tokens()));
    }
  }

  private void endWithFailure(String attemptId, Throwable thrown) {
    RequestFailedException failure = RequestFailures.classify(thrown);
    metrics.meter("attempts.failed." + failure.reason().label()).mark();
    postEnded(attemptId, RequestFailures.toOutcome(failure));
  }

  private void stop(String attemptId, boolean keepGeneration) {
    RunningAttempt attempt = running.remove(attemptId);
    if (attempt == null) {
      return;
    }
    attempt.stopped.tryEmitEmpty();
    attempt.stopAction.stop(keepGeneration);
  }

  private void fail(Effect.FailRequest failure) {
    PendingRequest request = requests.remove(failure.requestId());
    if (request == null) {
      return;
    }
    OptionalLong retryAfterMs =
        failure.retryAfterMs() > 0 ? OptionalLong.of(failure.retryAfterMs()) : OptionalLong.empty();
    request.fail(
        new RequestFailedException(
            failure.verdict(), failure.reason(), failure.message(), retryAfterMs));
  }

  private void failUnknownRequest(String attemptId, Verdict verdict) {
    String message = "the request of attempt " + attemptId + " is no longer in progress";
    postEnded(attemptId, Outcome.failed(verdict, Reason.CANCELLED, message));
  }

  private void postEnded(String attemptId, Outcome outcome) {
    events.post(new RequestEvent.AttemptEnded(MonotonicClock.nowMs(), attemptId, outcome));
  }

  private static RequestFailedException dispatchExpired(String targetId) {
    return new RequestFailedException(
        Verdict.NOT_RUN,
        Reason.NOT_READY,
        "the dispatch to target " + targetId + " was not sent within its time limit",
        OptionalLong.empty());
  }

  /** Stops an attempt at its target or at the daemon that owns the target. */
  @FunctionalInterface
  private interface StopAction {
    void stop(boolean keepGeneration);
  }

  /** An attempt in progress and how to stop it. */
  private static final class RunningAttempt {

    private final StopAction stopAction;
    private final Sinks.Empty<Void> stopped = Sinks.empty();

    private RunningAttempt(StopAction stopAction) {
      this.stopAction = stopAction;
    }
  }
}
