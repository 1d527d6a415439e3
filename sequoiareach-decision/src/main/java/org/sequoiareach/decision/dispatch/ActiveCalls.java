package org.sequoiareach.decision.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.RoutedService;
import org.sequoiareach.model.route.RoutedTarget;

/** Holds the requests in progress, and carries out what is decided on each. Not thread-safe. */
final class ActiveCalls {

  /** A decision older than this is not carried out: the daemon was paused in between. */
  private static final long SEND_WITHIN_MS = 400;

  private final DispatchContext context;
  private final Map<String, ActiveCall> calls = new LinkedHashMap<>();
  private Consumer<ActiveCall> endListener = call -> {};

  ActiveCalls(DispatchContext context) {
    this.context = context;
  }

  /** Sets who is told of each request that has ended. */
  void onEnd(Consumer<ActiveCall> listener) {
    endListener = listener;
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

  /** Finds a request whose attempt in progress has a number. */
  Optional<ActiveCall> find(String callId, int attempt) {
    return find(callId).filter(call -> call.attempt() == attempt && call.target().isPresent());
  }

  /** Returns the requests whose attempt in progress is at a target. */
  List<ActiveCall> at(String targetId) {
    return calls.values().stream().filter(call -> call.isAt(targetId)).toList();
  }

  /** Sends a request to a target, as a new run or from the memory of its run. */
  void send(
      long nowMs,
      ActiveCall call,
      RoutedTarget target,
      Optional<Continuation> continuation,
      String inputs) {
    leaveTarget(call);
    call.sent(target);
    Optional<GenerationDemand> demand = call.profile().generation();
    long unread =
        continuation.isPresent() ? 0 : demand.map(GenerationDemand::promptTokens).orElse(0L);
    context
        .ledger()
        .enter(
            call.callId(),
            target.id(),
            unread,
            demand.map(GenerationDemand::expectedMemoryTokens).orElse(0L));
    context
        .log()
        .add(
            new DispatchEffect.SendCall(
                call.callId(),
                call.attempt(),
                target,
                call.route().kind(),
                call.organisation(),
                call.priority(),
                connectionShare(call.service()),
                nowMs + SEND_WITHIN_MS,
                call.deadlineMs(),
                continuation));
    note(continuation.isPresent() ? "continue" : "route", call, target.id(), inputs);
  }

  /** Takes a request off the account of its target. */
  void leaveTarget(ActiveCall call) {
    call.target().ifPresent(target -> context.ledger().leave(call.callId(), target.id()));
  }

  /** Answers a request without an answer of a target. */
  void refuse(ActiveCall call, Reason reason, String message, long retryAfterMs) {
    refuse(call, reason, message, retryAfterMs, "");
  }

  /** Answers a request without an answer of a target, and logs what decided it. */
  void refuse(ActiveCall call, Reason reason, String message, long retryAfterMs, String inputs) {
    Verdict verdict = call.verdictIfEnded();
    String logged =
        String.join(" ", reason.label(), verdict.label(), message, inputs).stripTrailing();
    note("refuse", call, targetIdOf(call), logged + comeBack(retryAfterMs));
    context
        .log()
        .add(new DispatchEffect.RefuseCall(call.callId(), verdict, reason, message, retryAfterMs));
    end(call);
  }

  /** Returns what the log says of the time after which a caller should come back. */
  static String comeBack(long retryAfterMs) {
    return retryAfterMs == 0 ? "" : " retryAfter=" + retryAfterMs + "ms";
  }

  /** Breaks off an answer that has started, or refuses a request whose answer has not. */
  void giveUp(ActiveCall call, Reason reason, String message) {
    if (!call.isStarted()) {
      refuse(call, reason, message, 0);
      return;
    }
    note("cut", call, targetIdOf(call), message);
    context.log().add(new DispatchEffect.CutCall(call.callId(), reason));
    end(call);
  }

  void end(ActiveCall call) {
    calls.remove(call.callId());
    leaveTarget(call);
    endListener.accept(call);
  }

  void note(String decision, ActiveCall call, String targetId, String reason) {
    context.note(
        decision,
        call.profile().requestId(),
        call.organisation().orElse(""),
        targetId,
        "route=" + call.route().name() + " attempt=" + call.attempt() + " " + reason);
  }

  static String targetIdOf(ActiveCall call) {
    return call.target().map(RoutedTarget::id).orElse("");
  }

  /** Splits the connections that a target takes equally among the daemons. */
  private int connectionShare(String service) {
    int limit =
        context
            .index()
            .flatMap(index -> index.findService(service))
            .map(RoutedService::connectionLimit)
            .orElse(Integer.MAX_VALUE);
    return Math.max(1, limit / context.mostDaemons());
  }
}
