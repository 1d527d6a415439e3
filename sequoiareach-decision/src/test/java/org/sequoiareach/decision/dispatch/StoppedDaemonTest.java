package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.request.Verdict;

/** Tests the end of the process of a draining daemon. */
class StoppedDaemonTest {

  private final DispatchFixture fixture = DispatchFixture.ready();

  @Test
  void doesNotStopWhileCallersHaveYetToTakeAnswers() {
    fixture.apply(new DispatchEvent.AnswersUnsent(fixture.nowMs(), true));
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 8_000));
    fixture.tick(5_000);
    assertThat(fixture.all(Effect.Stop.class)).isEmpty();

    fixture.apply(new DispatchEvent.AnswersUnsent(fixture.nowMs(), false));

    assertThat(fixture.all(Effect.Stop.class)).hasSize(1);
  }

  @Test
  void stopsAtEndOfDrainAlthoughCallersHaveYetToTakeAnswers() {
    fixture.apply(new DispatchEvent.AnswersUnsent(fixture.nowMs(), true));
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 8_000));
    fixture.tick(8_000);

    assertThat(fixture.all(Effect.Stop.class)).hasSize(1);
  }

  @Test
  void doesNotSendCallThatArrivesAfterStop() {
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 8_000));
    fixture.tick(5_000);
    assertThat(fixture.all(Effect.Stop.class)).hasSize(1);

    String call = fixture.call("booking");

    assertThat(fixture.sends(call)).isEmpty();
    assertThat(fixture.refusal(call))
        .hasValueSatisfying(refusal -> assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN));
  }
}
