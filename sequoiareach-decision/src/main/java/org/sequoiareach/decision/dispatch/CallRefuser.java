package org.sequoiareach.decision.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.decision.admission.AdmissionDecision;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;

/** Ends calls that are not sent, and determines when their callers return. Not thread-safe. */
final class CallRefuser {

  /** Bounds of the random retry delay for callers when no better estimate is available. */
  private static final long MIN_RETRY_AFTER_MS = 300;

  private static final long MAX_RETRY_AFTER_MS = 900;

  /** The shortest return time that is worth a second request. */
  private static final long MIN_RETURN_MS = 100;

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final RunDurationRegistry durations;

  CallRefuser(DispatchContext context, ActiveCalls calls, RunDurationRegistry durations) {
    this.context = context;
    this.calls = calls;
    this.durations = durations;
  }

  /** Refuses a call because the daemon has not loaded what it routes by. */
  void refuseNotLoaded(long nowMs, DispatchEvent.CallArrived event) {
    String missing = context.index().isEmpty() ? "routing sheet" : "target list";
    refuseUnresolved(
        event,
        Reason.NOT_READY,
        "the daemon has not loaded a " + missing + " yet, held=" + (nowMs - event.nowMs()) + "ms");
  }

  /** Refuses a call that was not admitted. */
  void refuseUnresolved(DispatchEvent.CallArrived event, Reason reason, String message) {
    long retryAfterMs = reason == Reason.NOT_READY ? retryAfterMs(0) : 0;
    context.logDecision(
        "refuse",
        event.profile().requestId(),
        "",
        "",
        reason.label() + " " + message + ActiveCalls.formatRetryAfter(retryAfterMs));
    context
        .effects()
        .add(
            new DispatchEffect.RefuseCall(
                event.callId(), Verdict.NOT_RUN, reason, message, retryAfterMs));
  }

  /** Refuses a call for which no target was chosen. */
  void refuseUnplaced(
      long nowMs,
      ActiveCall call,
      CallPlacement.Choice choice,
      Optional<DispatchEvent.AttemptFailed> failure,
      AdmissionDecision.Refuse refusal) {
    if (call.permitReturnMs().isPresent()) {
      refuseForLimit(nowMs, call, failure);
      return;
    }
    OptionalLong backoffEndMs =
        choice.all().isEmpty()
            ? context.findBackoffEndMs(nowMs, call.service())
            : OptionalLong.empty();
    if (backoffEndMs.isPresent()) {
      refuseForBackoff(nowMs, call, backoffEndMs.getAsLong(), failure);
      return;
    }
    calls.refuse(
        call,
        choice.all().isEmpty() ? Reason.NO_TARGET : Reason.NO_CAPACITY,
        "no target of service " + call.service() + " has capacity",
        refusal.returnAfterMs().isPresent()
            ? Math.max(MIN_RETURN_MS, refusal.returnAfterMs().getAsLong())
            : retryAfterMs(drawCapacityRetryMs(call)),
        (choice.describeLeastLoaded(call) + " " + refusal.inputs()).stripTrailing());
  }

  /** Ends a call whose latest attempt failed and that is not sent again. */
  void giveUp(DispatchEvent.AttemptFailed event, ActiveCall call, long returnMs) {
    if (event.started()) {
      calls.abort(call, Reason.TARGET_FAILED, "no other target can resume the stream");
      return;
    }
    if (event.fault() == AttemptFault.SERVER_ERROR) {
      calls.logDecision("deliver-error", call, "", event.detail());
      context.effects().add(new DispatchEffect.DeliverHeldAnswer(call.callId()));
      calls.end(call);
      return;
    }
    if (call.verdict() == Verdict.NOT_RUN) {
      calls.refuse(call, Reason.NO_CAPACITY, event.detail(), retryAfterMs(returnMs));
      return;
    }
    calls.refuse(call, Reason.TARGET_FAILED, event.detail(), 0);
  }

  /** Refuses a call because the targets that are left accept no more requests in time. */
  private void refuseForLimit(
      long nowMs, ActiveCall call, Optional<DispatchEvent.AttemptFailed> failure) {
    long returnMs = call.permitReturnMs().getAsLong() - nowMs;
    if (failure.isPresent()) {
      giveUp(failure.get(), call, returnMs);
      return;
    }
    String message = "the targets of service " + call.service() + " accept no more requests now";
    calls.refuse(call, Reason.NO_CAPACITY, message, retryAfterMs(returnMs));
  }

  /** Refuses a call because all targets asked to be sent nothing for now. */
  private void refuseForBackoff(
      long nowMs,
      ActiveCall call,
      long backoffEndMs,
      Optional<DispatchEvent.AttemptFailed> failure) {
    // Callers that return at the same moment would overload the target again.
    long returnMs = backoffEndMs - nowMs + context.randomBetween(0, MIN_RETRY_AFTER_MS);
    if (failure.isPresent()) {
      giveUp(failure.get(), call, returnMs);
      return;
    }
    String message = "the targets of service " + call.service() + " accept nothing for now";
    calls.refuse(call, Reason.NO_CAPACITY, message, retryAfterMs(returnMs));
  }

  /**
   * Draws the delay until an engine is likely to have capacity again, between two thirds and four
   * thirds of the estimated duration of this run. Memory is freed as similar runs end; after a
   * burst they have all just started, so most of their duration is still to come.
   */
  private long drawCapacityRetryMs(ActiveCall call) {
    RunDurationEstimator estimator = durations.getEstimator(call.service());
    long runMs = call.profile().generation().map(estimator::estimateMs).orElse(0L);
    return context.randomBetween(runMs * 2 / 3, runMs * 4 / 3);
  }

  private long retryAfterMs(long targetRetryAfterMs) {
    return Math.max(
        targetRetryAfterMs, context.randomBetween(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS));
  }
}
