package org.sequoiareach.decision.session;

import java.io.IOException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.decision.group.GroupReducer;
import org.sequoiareach.decision.group.GroupSettings;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.decision.placement.PassThroughAdmission;
import org.sequoiareach.decision.reducer.DecisionReducer;
import org.sequoiareach.decision.reducer.ReducerSettings;
import org.sequoiareach.decision.routing.LeastOutstandingRouting;
import org.sequoiareach.decision.sheet.SheetGuardSettings;

/** Replays recorded sessions against a {@link DecisionReducer} with its usual settings. */
class GoldenSessionTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "streamed-answer",
        "refused-for-limits",
        "engine-dies-before-first-token",
        "engine-dies-after-first-token",
        "booking",
        "booking-without-key-value-service",
        "sheet-changed-in-mid-stream",
        "target-leaves",
        "process-paused",
        "plan-spent",
        "planned-stop",
      })
  void producesRecordedEffects(String session) throws IOException {
    GoldenSession.check(session, createReducer()::apply);
  }

  private static GroupReducer createGroupReducer() {
    return new GroupReducer(
        new GroupSettings(
            new MembershipSettings("d1", "127.0.0.1:1", "zone-a", 1, 1),
            new SheetGuardSettings("d1", SheetGuardSettings.DEFAULT_BOUND_MS, 2_000, 1)));
  }

  private static DecisionReducer createReducer() {
    return new DecisionReducer(
        ReducerSettings.defaults("d1", "d1-1", "zone-a", 1),
        createGroupReducer(),
        new LeastOutstandingRouting(),
        new LeastOutstandingRouting(),
        PassThroughAdmission::new);
  }
}
