package org.sequoiareach.decision.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.RoutedService;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Registry of the calls in progress that emits the effects of decisions on them. Not thread-safe.
 */
final class ActiveCalls {

  /** An attempt not sent within this time is outdated, because the daemon was paused meanwhile. */
  private static final long SEND_TIMEOUT_MS = 400;

  private final DispatchContext context;
  private final Map<String, ActiveCall> calls = new LinkedHashMap<>();
  private Consumer<ActiveCall> endListener = call -> {};
  private BiConsumer<Long, ActiveCall> sendListener = (nowMs, call) -> {};

  ActiveCalls(DispatchContext context) {
    this.context = context;
  }

  /** Sets the listener that is notified of each call that ends. */
  void setEndListener(Consumer<ActiveCall> listener) {
    endListener = listener;
  }

  /** Adds a listener that is notified of each call that ends, after the earlier ones. */
  void addEndListener(Consumer<ActiveCall> listener) {
    endListener = endListener.andThen(listener);
  }

  /** Sets the listener that is notified of the time and the call of each new run. */
  void setSendListener(BiConsumer<Long, ActiveCall> listener) {
    sendListener = listener;
  }

  void add(ActiveCall call) {
    calls.put(call.callId(), call);
  }

  int count() {
    return calls.size();
  }

  List<ActiveCall> all() {
    return List.copyOf(calls.values());
  }

  Optional<ActiveCall> find(String callId) {
    return Optional.ofNullable(calls.get(callId));
  }

  /** Finds a call whose attempt in progress has the given number. */
  Optional<ActiveCall> findAttempt(String callId, int attempt) {
    return find(callId).filter(call -> call.attempt() == attempt && call.target().isPresent());
  }

  /** Returns the calls whose attempt in progress is at the given target. */
  List<ActiveCall> assignedTo(String targetId) {
    return calls.values().stream().filter(call -> call.isAssignedTo(targetId)).toList();
  }

  /** Sends a call to a target, either as a new run or as the continuation of a copied run. */
  void send(
      long nowMs,
      ActiveCall call,
      RoutedTarget target,
      Optional<Continuation> continuation,
      String inputs) {
    releaseTarget(call);
    call.attemptSent(nowMs, target);
    Optional<GenerationDemand> demand = call.profile().generation();
    long waitingPromptTokens =
        continuation.isPresent() ? 0 : demand.map(GenerationDemand::promptTokens).orElse(0L);
    context
        .targetUse()
        .add(call.callId(), target.id(), waitingPromptTokens, call.expectedMemoryTokens());
    call.waitsForPrompts(
        waitingPromptTokens == 0
            ? 0
            : context.targetUse().useOf(target.id()).waitingPromptTokens());
    context.effects().add(describeSend(nowMs, call, call.attempt(), target, continuation));
    logDecision(continuation.isPresent() ? "continue" : "route", call, target.id(), inputs);
    if (continuation.isEmpty()) {
      sendListener.accept(nowMs, call);
    }
  }

  /** Sends a plain call to a second target while its first attempt is in progress. */
  void sendHedge(long nowMs, ActiveCall call, RoutedTarget target, String inputs) {
    SentAttempt sent = call.hedgeSent(nowMs, target);
    context.targetUse().add(call.callId(), target.id(), 0, call.expectedMemoryTokens());
    context
        .effects()
        .add(
            new DispatchEffect.HedgeCall(
                describeSend(nowMs, call, sent.number(), target, Optional.empty())));
    logDecision("hedge", call, target.id(), "number=" + sent.number() + " " + inputs);
  }

  private DispatchEffect.SendCall describeSend(
      long nowMs,
      ActiveCall call,
      int attempt,
      RoutedTarget target,
      Optional<Continuation> continuation) {
    return new DispatchEffect.SendCall(
        call.callId(),
        attempt,
        target,
        call.route().kind(),
        call.organisation(),
        call.priority(),
        connectionShare(call.service()),
        nowMs + SEND_TIMEOUT_MS,
        call.deadlineMs(),
        continuation);
  }

  /** Stops counting a call towards the use of its target. */
  void releaseTarget(ActiveCall call) {
    call.target().ifPresent(target -> context.targetUse().remove(call.callId(), target.id()));
  }

  /** Stops counting a call towards the use of the target of its second attempt. */
  void releaseHedge(ActiveCall call) {
    call.hedge().ifPresent(sent -> context.targetUse().remove(call.callId(), sent.target().id()));
  }

  /** Refuses a call. */
  void refuse(ActiveCall call, Reason reason, String message, long retryAfterMs) {
    refuse(call, reason, message, retryAfterMs, "");
  }

  /** Refuses a call and logs the inputs of the decision. */
  void refuse(ActiveCall call, Reason reason, String message, long retryAfterMs, String inputs) {
    Verdict verdict = call.verdictIfEnded();
    String logged =
        String.join(" ", reason.label(), verdict.label(), message, inputs).stripTrailing();
    logDecision("refuse", call, targetIdOf(call), logged + formatRetryAfter(retryAfterMs));
    context
        .effects()
        .add(new DispatchEffect.RefuseCall(call.callId(), verdict, reason, message, retryAfterMs));
    end(call);
  }

  /** Formats the retry delay for the decision log; empty for a delay of 0. */
  static String formatRetryAfter(long retryAfterMs) {
    return retryAfterMs == 0 ? "" : " retryAfter=" + retryAfterMs + "ms";
  }

  /** Cuts an answer that has started, or refuses a call whose answer has not. */
  void abort(ActiveCall call, Reason reason, String message) {
    if (!call.isStarted()) {
      refuse(call, reason, message, 0);
      return;
    }
    logDecision("cut", call, targetIdOf(call), message);
    context.effects().add(new DispatchEffect.CutCall(call.callId(), reason));
    end(call);
  }

  void end(ActiveCall call) {
    calls.remove(call.callId());
    releaseTarget(call);
    releaseHedge(call);
    endListener.accept(call);
  }

  void logDecision(String decision, ActiveCall call, String targetId, String reason) {
    context.logDecision(
        decision,
        call.profile().requestId(),
        call.organisation().orElse(""),
        targetId,
        "route=" + call.route().name() + " attempt=" + call.attempt() + " " + reason);
  }

  static String targetIdOf(ActiveCall call) {
    return call.target().map(RoutedTarget::id).orElse("");
  }

  /** Returns this daemon's equal share of the connections that a target of a service accepts. */
  private int connectionShare(String service) {
    int limit =
        context
            .index()
            .flatMap(index -> index.findService(service))
            .map(RoutedService::connectionLimit)
            .orElse(Integer.MAX_VALUE);
    return Math.max(1, limit / context.maxDaemons());
  }
}
