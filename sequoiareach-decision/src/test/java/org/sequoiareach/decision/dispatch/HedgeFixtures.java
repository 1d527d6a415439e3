package org.sequoiareach.decision.dispatch;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;

/** Creates reducers that hedge requests, and calls of their repeatable route. */
final class HedgeFixtures {

  static final long USUAL_MS = 20;
  private static final int LEARNED = 60;

  private HedgeFixtures() {}

  static DispatchFixture hedging(double ratio) {
    DispatchFixture fixture = DispatchFixture.ready();
    setRatio(fixture, ratio);
    return fixture;
  }

  static void setRatio(DispatchFixture fixture, double ratio) {
    DispatchSettings settings = new DispatchSettings("z0", 7, 0.2, 10_000, 52, 3_500, 2_000);
    fixture.apply(
        new DispatchEvent.SettingsChanged(fixture.nowMs(), settings.withHedgeRatio(ratio)));
  }

  /** Creates a reducer that knows the usual answer time of the service. */
  static DispatchFixture learned(double ratio) {
    DispatchFixture fixture = hedging(ratio);
    for (int i = 0; i < LEARNED; i++) {
      String call = fixture.call("status");
      fixture.advance(USUAL_MS);
      fixture.delivered(call);
    }
    // Instead of the wake-ups that the calls above requested.
    fixture.tick(50);
    return fixture;
  }

  static List<Effect> arrive(DispatchFixture fixture, String callId, long timeoutMs) {
    return fixture.apply(
        new DispatchEvent.CallArrived(
            fixture.nowMs(),
            callId,
            new CallProfile(
                "r-" + callId,
                DispatchFixture.HOST,
                "/status/1",
                Optional.of("k1"),
                fixture.nowMs(),
                fixture.nowMs() + timeoutMs,
                Optional.empty()),
            Optional.empty()));
  }

  static List<DispatchEffect.HedgeCall> hedges(DispatchFixture fixture) {
    return fixture.all(DispatchEffect.HedgeCall.class);
  }

  static List<String> outcomes(DispatchFixture fixture) {
    return fixture.all(DispatchEffect.RecordHedge.class).stream()
        .map(DispatchEffect.RecordHedge::outcome)
        .toList();
  }
}
