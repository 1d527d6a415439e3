package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.request.Verdict;

/** Guards what becomes of a call that waits at one daemon for room at its engines. */
class WaitingCallTest {

  private static final long LONG_MS = 39_000;

  private final DispatchFixture fixture = DispatchFixture.ready();
  private final List<String> running = new ArrayList<>();
  private String waiting;

  @BeforeEach
  void fillEngines() {
    // Runs of a second: room for a few more is expected soon.
    for (int i = 0; i < 12; i++) {
      String call = fixture.generate(3_000, 2_000);
      fixture.started(call);
      fixture.advance(1_000);
      fixture.delivered(call);
    }
    while (waiting == null) {
      String call = fixture.generateWithin(LONG_MS, 3_000, 2_000);
      if (fixture.sends(call).isEmpty()) {
        waiting = call;
      } else {
        fixture.started(call);
        running.add(call);
      }
    }
    assertThat(fixture.refusal(waiting)).isEmpty();
  }

  @Test
  void sendsCallInTheEventThatReleasesRoom() {
    fixture.advance(200);
    fixture.delivered(running.get(0));
    assertThat(fixture.sends(waiting)).hasSize(1);
    assertThat(logged("wait")).hasSize(1);
    assertThat(logged("admit")).singleElement().asString().contains("waited=200ms waiting=0");
  }

  @Test
  void sendsNothingForCallerThatHasLeft() {
    fixture.apply(new DispatchEvent.CallerLeft(fixture.nowMs(), waiting));
    fixture.delivered(running.get(0));
    fixture.tick(1_000);
    assertThat(fixture.sends(waiting)).isEmpty();
    assertThat(fixture.refusal(waiting)).isEmpty();
  }

  @Test
  void refusesCallAsNotRunWhenItCanNoLongerEndInTime() {
    fixture.tick(LONG_MS);
    assertThat(fixture.sends(waiting)).isEmpty();
    assertThat(fixture.refusal(waiting).orElseThrow().verdict()).isEqualTo(Verdict.NOT_RUN);
  }

  @Test
  void refusesCallWhoseTimePassedWhileTheDaemonWasFrozen() {
    fixture.advance(LONG_MS + 1_000);
    fixture.apply(new TimeEvent.Ticked(fixture.nowMs()));
    assertThat(fixture.sends(waiting)).isEmpty();
    assertThat(fixture.refusal(waiting).orElseThrow().verdict()).isEqualTo(Verdict.NOT_RUN);
  }

  @Test
  void refusesCallWithReturnTimeIfTheDaemonStopsBeforeItCanEnd() {
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 12_000));
    fixture.tick(DrainAdmission.DISCOVERY_MS + 100);
    assertThat(fixture.sends(waiting)).isEmpty();
    assertThat(fixture.refusal(waiting).orElseThrow().verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(fixture.refusal(waiting).orElseThrow().retryAfterMs()).isPositive();
  }

  @Test
  void sendsShortRunAheadOfLongOneOfTheSameUrgency() {
    String check = fixture.generate("check", 200, 16);
    assertThat(fixture.sends(check)).hasSize(1);
    assertThat(fixture.sends(waiting)).isEmpty();
  }

  private List<String> logged(String decision) {
    return fixture.all(Effect.LogDecision.class).stream()
        .filter(line -> line.decision().equals(decision))
        .map(Effect.LogDecision::reason)
        .toList();
  }
}
