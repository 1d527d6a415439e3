package org.sequoiareach.decision.dispatch;

import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.TimeEvent;

/** Decides whether the daemon takes callers, and when it stops. Not thread-safe. */
final class LifeRole {

  private final DispatchContext context;
  private final ActiveCalls active;
  private final CallRole calls;
  private Optional<Boolean> announced = Optional.empty();
  private boolean stopped;
  private long noticeEndMs;

  LifeRole(DispatchContext context, ActiveCalls active, CallRole calls) {
    this.context = context;
    this.active = active;
    this.calls = calls;
  }

  void drain(TimeEvent.DrainRequested event) {
    if (context.drain().isPresent()) {
      return;
    }
    noticeEndMs = event.nowMs() + context.settings().drainNoticeMs();
    context.startDrain(new DrainAdmission(event.nowMs(), event.deadlineMs()));
    context.note("drain", "", "", "", "calls=" + active.count());
    announce();
  }

  void tick(long nowMs) {
    announce();
    Optional<DrainAdmission> drain = context.drain();
    if (drain.isEmpty() || stopped) {
      return;
    }
    if (nowMs >= drain.get().endMs()) {
      calls.endAll("the daemon stops");
    }
    if (active.count() == 0 && nowMs >= noticeEndMs) {
      stopped = true;
      context.log().add(new Effect.Stop());
    }
  }

  private void announce() {
    boolean draining = context.drain().isPresent();
    boolean ready = !draining && context.index().isPresent() && context.targets().isKnown();
    if (announced.equals(Optional.of(ready))) {
      return;
    }
    announced = Optional.of(ready);
    String why = ready ? "" : draining ? "the daemon stops" : "no sheet or no targets yet";
    context.note(ready ? "ready" : "not-ready", "", "", "", why);
    context.log().add(new Effect.SetReady(ready, why));
  }
}
