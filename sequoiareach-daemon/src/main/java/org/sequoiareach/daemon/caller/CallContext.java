package org.sequoiareach.daemon.caller;

import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.attempt.AttemptRunner;
import org.sequoiareach.daemon.attempt.Exchange;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Flux;

/** Tells the reducer of requests and connects each with its answer. Thread-safe. */
public final class CallContext {

  private final AttemptRunner attempts;
  private final EventSink events;

  /**
   * Creates a context.
   *
   * @param attempts runs the attempts
   * @param events the reducer's sink
   */
  public CallContext(AttemptRunner attempts, EventSink events) {
    this.attempts = attempts;
    this.events = events;
  }

  /**
   * Submits a request.
   *
   * @param exchange the request
   * @param deadlineMs when its final answer is due
   * @return the answer, to be subscribed to once; giving up on it tells the reducer
   */
  Flux<AnswerPart> submit(Exchange exchange, long deadlineMs) {
    String requestId = exchange.spec().requestId();
    attempts.open(exchange);
    events.post(
        new RequestEvent.RequestArrived(MonotonicClock.nowMs(), exchange.spec(), deadlineMs));
    return exchange
        .answer()
        .doOnCancel(() -> gone(exchange))
        .doFinally(signal -> attempts.close(requestId));
  }

  private void gone(Exchange exchange) {
    long nowMs = MonotonicClock.nowMs();
    String requestId = exchange.spec().requestId();
    if (exchange.isResumable()) {
      events.post(new RequestEvent.CallerDetached(nowMs, requestId));
      return;
    }
    events.post(new RequestEvent.RequestCancelled(nowMs, requestId));
  }
}
