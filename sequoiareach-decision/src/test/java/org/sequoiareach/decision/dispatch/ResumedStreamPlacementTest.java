package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.sequoiareach.model.request.Reason;

/**
 * Guards against streams that are cut because every engine is busier than a new run may find it.
 */
class ResumedStreamPlacementTest {

  /** Requests whose expected memory fills every engine beyond what new runs may use. */
  private static final int FILLING_RUNS = 200;

  private final DispatchFixture fixture = DispatchFixture.ready();

  @Test
  void resumesStreamAtEngineWithoutCapacityForNewRuns() {
    String stream = fixture.generate("check", 3_000, 2_000);
    fixture.started(stream);
    for (int i = 0; i < FILLING_RUNS; i++) {
      fixture.generate("draft", 3_000, 2_000);
    }
    final String refused = fixture.generate("check", 3_000, 2_000);
    final String brokenAt = fixture.lastSend(stream).target().id();
    fixture.failed(stream, AttemptFault.BROKEN_ANSWER, true);

    assertThat(fixture.refusal(refused)).get().returns(Reason.NO_CAPACITY, r -> r.reason());
    assertThat(fixture.wasCut(stream)).isFalse();
    assertThat(fixture.sends(stream)).hasSize(2);
    assertThat(fixture.lastSend(stream).target().id()).isNotEqualTo(brokenAt);
  }
}
