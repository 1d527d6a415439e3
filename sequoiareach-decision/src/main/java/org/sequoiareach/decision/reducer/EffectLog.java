package org.sequoiareach.decision.reducer;

import java.util.ArrayList;
import java.util.List;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;

/** Collects the effects of one event, and holds the short forms of the frequent ones. */
final class EffectLog {

  private List<Effect> effects = new ArrayList<>();

  void add(Effect effect) {
    effects.add(effect);
  }

  void fail(RequestSpec spec, Verdict verdict, Reason reason, String message, long retryAfterMs) {
    add(new Effect.FailRequest(spec.requestId(), verdict, reason, message, retryAfterMs));
  }

  void decision(String decision, RequestSpec spec, String targetId, long version, String reason) {
    decision(decision, spec, targetId, version, reason, List.of());
  }

  void decision(
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

  void control(String decision, String targetId, long version, String reason) {
    add(new Effect.LogDecision(decision, "", "", targetId, version, reason, List.of()));
  }

  List<Effect> take() {
    List<Effect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }
}
