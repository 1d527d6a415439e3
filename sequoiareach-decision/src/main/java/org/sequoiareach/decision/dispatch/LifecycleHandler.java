package org.sequoiareach.decision.dispatch;

import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.TimeEvent;

/** Controls the readiness of the daemon, its drain and its stop. Not thread-safe. */
final class LifecycleHandler {

  private final DispatchContext context;
  private final ActiveCalls active;
  private final CallHandler calls;
  private Optional<Boolean> lastReady = Optional.empty();
  private long noticeEndMs;
  private boolean answersUnsent;

  LifecycleHandler(DispatchContext context, ActiveCalls active, CallHandler calls) {
    this.context = context;
    this.active = active;
    this.calls = calls;
  }

  void onDrainRequested(TimeEvent.DrainRequested event) {
    if (context.drain().isPresent()) {
      return;
    }
    noticeEndMs = event.nowMs() + context.settings().drainNoticeMs();
    context.startDrain(new DrainAdmission(event.nowMs(), event.deadlineMs()));
    context.logDecision("drain", "", "", "", "calls=" + active.count());
    updateReadiness();
  }

  void onAnswersUnsent(DispatchEvent.AnswersUnsent event) {
    answersUnsent = event.unsent();
    tick(event.nowMs());
  }

  void tick(long nowMs) {
    updateReadiness();
    Optional<DrainAdmission> drain = context.drain();
    if (drain.isEmpty() || context.isStopped()) {
      return;
    }
    boolean ending = nowMs >= drain.get().endMs();
    if (ending) {
      calls.abortAll("the daemon has reached its drain deadline");
    }
    boolean idle = active.count() == 0 && (ending || !answersUnsent);
    if (idle && nowMs >= noticeEndMs) {
      context.markStopped();
      context.effects().add(new Effect.Stop());
    }
  }

  private void updateReadiness() {
    boolean draining = context.drain().isPresent();
    boolean ready = !draining && context.index().isPresent() && context.targets().hasList();
    if (lastReady.equals(Optional.of(ready))) {
      return;
    }
    lastReady = Optional.of(ready);
    String why =
        ready
            ? ""
            : draining ? "the daemon is draining" : "routing sheet or target list not loaded yet";
    context.logDecision(ready ? "ready" : "not-ready", "", "", "", why);
    context.effects().add(new Effect.SetReady(ready, why));
  }
}
