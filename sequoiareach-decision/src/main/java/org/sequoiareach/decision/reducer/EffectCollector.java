package org.sequoiareach.decision.reducer;

import java.util.ArrayList;
import java.util.List;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;

/** Collects the effects of one event, with shorthands for failures and log entries. */
final class EffectCollector {

  private List<Effect> effects = new ArrayList<>();

  void add(Effect effect) {
    effects.add(effect);
  }

  void failRequest(
      RequestSpec spec, Verdict verdict, Reason reason, String message, long retryAfterMs) {
    add(new Effect.FailRequest(spec.requestId(), verdict, reason, message, retryAfterMs));
  }

  void logDecision(
      String decision, RequestSpec spec, String targetId, long version, String reason) {
    logDecision(decision, spec, targetId, version, reason, List.of());
  }

  void logDecision(
      String decision,
      RequestSpec spec,
      String targetId,
      long version,
      String reason,
      List<String> losers) {
    String request = spec.requestId();
    String organisation = spec.organisation();
    add(new Effect.LogDecision(decision, request, organisation, targetId, version, reason, losers));
  }

  void logControl(String decision, String targetId, long version, String reason) {
    add(new Effect.LogDecision(decision, "", "", targetId, version, reason, List.of()));
  }

  List<Effect> drain() {
    List<Effect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }
}
