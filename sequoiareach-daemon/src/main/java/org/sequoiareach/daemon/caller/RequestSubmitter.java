package org.sequoiareach.daemon.caller;

import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.attempt.AttemptRunner;
import org.sequoiareach.daemon.attempt.PendingRequest;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Flux;

/** Submits requests to the reducer and returns their answers. Thread-safe. */
public final class RequestSubmitter {

  private final AttemptRunner attempts;
  private final EventSink events;

  /**
   * Creates a submitter.
   *
   * @param attempts runs the attempts at the requests
   * @param events receives events for the reducer
   */
  public RequestSubmitter(AttemptRunner attempts, EventSink events) {
    this.attempts = attempts;
    this.events = events;
  }

  /**
   * Submits a request.
   *
   * @param request the request
   * @param deadlineMs when its final answer is due, in milliseconds of the monotonic clock
   * @return the answer, which can be subscribed to once; cancelling the subscription is reported to
   *     the reducer
   */
  Flux<AnswerPart> submit(PendingRequest request, long deadlineMs) {
    String requestId = request.spec().requestId();
    attempts.register(request);
    events.post(
        new RequestEvent.RequestArrived(MonotonicClock.nowMs(), request.spec(), deadlineMs));
    return request
        .answer()
        .doOnCancel(() -> postCallerGone(request))
        .doFinally(signal -> attempts.unregister(requestId));
  }

  private void postCallerGone(PendingRequest request) {
    long nowMs = MonotonicClock.nowMs();
    String requestId = request.spec().requestId();
    if (request.isResumable()) {
      events.post(new RequestEvent.CallerDetached(nowMs, requestId));
      return;
    }
    events.post(new RequestEvent.RequestCancelled(nowMs, requestId));
  }
}
