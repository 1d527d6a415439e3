package org.sequoiareach.decision.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.decision.speed.EngineLoad;
import org.sequoiareach.model.route.EngineSpeed;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.TargetUse;

/**
 * Observes how fast engines work under the load that is known to be there, and shares that with
 * other daemons. Only runs of routes that state a target gap are observed. Not thread-safe.
 */
final class SpeedHandler {

  /** Observations change slowly; each announcement of a change costs a message. */
  private static final long ESTIMATE_INTERVAL_MS = 500;

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final Map<String, LoadSamples> samples = new HashMap<>();
  private long nextEstimateMs;

  SpeedHandler(DispatchContext context, ActiveCalls calls) {
    this.context = context;
    this.calls = calls;
  }

  void onAnswerStarted(long nowMs, ActiveCall call, RoutedTarget target) {
    if (!isObserved(call)) {
      return;
    }
    long delayMs = nowMs - call.lastSentAtMs();
    context.speeds().recordPrefill(nowMs, target, call.waitingTokensAtSend(), delayMs);
    samples.put(call.callId(), new LoadSamples());
  }

  void onStreamProgressed(StreamEvent.StreamProgressed event) {
    Optional<ActiveCall> found = calls.findAttempt(event.callId(), event.attempt());
    LoadSamples observed = samples.get(event.callId());
    if (found.isEmpty() || observed == null) {
      return;
    }
    RoutedTarget target = found.get().target().orElseThrow();
    observed.add(context.targetUse().useOf(target.id()));
    int tokensPerEvent =
        context.engineTraits(target.service()).map(EngineTraits::tokensPerEvent).orElse(1);
    long steps = (long) event.events() * tokensPerEvent;
    context
        .speeds()
        .recordDecode(event.nowMs(), target, observed.mean(), steps, event.durationMs());
    samples.put(event.callId(), new LoadSamples());
  }

  void tick(long nowMs) {
    samples.keySet().removeIf(callId -> calls.find(callId).isEmpty());
    samples.forEach(
        (callId, observed) ->
            calls
                .find(callId)
                .flatMap(ActiveCall::target)
                .ifPresent(target -> observed.add(context.targetUse().useOf(target.id()))));
    if (nowMs < nextEstimateMs) {
      return;
    }
    nextEstimateMs = nowMs + ESTIMATE_INTERVAL_MS;
    Map<String, EngineSpeed> local = context.speeds().local(nowMs);
    context.fleetState().setSpeeds(local);
    context
        .speeds()
        .estimate(local, context.fleetState().peerTotal().speeds(), context.targets()::find);
  }

  private boolean isObserved(ActiveCall call) {
    return call.route().targetGapMs().isPresent()
        && call.profile().generation().isPresent()
        && context.engineTraits(call.service()).isPresent();
  }

  /** Samples of the load of an engine during the events of a run. */
  private static final class LoadSamples {

    private long runs;
    private int prefilling;
    private int count;

    private void add(TargetUse use) {
      runs += use.calls();
      prefilling += use.waitingPromptTokens() > 0 ? 1 : 0;
      count++;
    }

    private EngineLoad mean() {
      return new EngineLoad((double) runs / count, (double) prefilling / count);
    }
  }
}
