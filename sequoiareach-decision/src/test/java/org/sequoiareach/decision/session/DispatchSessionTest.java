package org.sequoiareach.decision.session;

import java.io.IOException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.decision.dispatch.DispatchReducer;
import org.sequoiareach.decision.dispatch.DispatchSettings;
import org.sequoiareach.decision.membership.MembershipSettings;

/** Replays recorded sessions against the {@link DispatchReducer}. */
class DispatchSessionTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "start-and-first-calls",
        "lookup-repeated",
        "booking-answer-lost",
        "stream-moves-off-leaving-engine",
        "engine-dies-during-later-copy",
        "entries-lapse-with-the-store",
        "sheet-from-another-daemon",
        "planned-stop",
      })
  void producesRecordedEffects(String session) throws IOException {
    DispatchReducer reducer =
        new DispatchReducer(
            new DispatchSettings("z0", 7, 0.2, 10_000, 52, 3_500, 2_000),
            new MembershipSettings("10.0.0.1:1", "10.0.0.1:1", "z0", 1, 7));
    GoldenSession.check("dispatch/" + session, reducer::apply);
  }
}
