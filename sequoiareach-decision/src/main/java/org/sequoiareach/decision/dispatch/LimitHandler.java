package org.sequoiareach.decision.dispatch;

/** Handles what targets state about the rate of requests that they accept. Not thread-safe. */
final class LimitHandler {

  private final ActiveCalls calls;

  LimitHandler(ActiveCalls calls) {
    this.calls = calls;
  }

  void onRateStated(DispatchEvent.RateStated event) {
    calls
        .findAttempt(event.callId(), event.attempt())
        .ifPresent(
            call ->
                calls.logDecision(
                    "rate-stated",
                    call,
                    ActiveCalls.targetIdOf(call),
                    "perSecond=" + event.rate().perSecond()));
  }
}
