package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.request.Verdict;

/** Tests that a call refused as not run is never sent, and one that may run is never refused so. */
class NotRunVerdictTest {

  private DispatchFixture fixture = DispatchFixture.ready();

  @Test
  void doesNotSendHeldCallAfterItsRefusal() {
    fixture = new DispatchFixture();
    String call = fixture.call("booking");
    fixture.tick(DispatchFixture.LIMIT_MS);
    assertVerdict(call, Verdict.NOT_RUN);

    fixture.apply(
        new DispatchEvent.SheetLearned(fixture.nowMs(), DispatchFixture.sheet(1, "k1"), "store"));
    fixture.apply(
        new DispatchEvent.TargetsListed(fixture.nowMs(), 10, DispatchFixture.targets(), "store"));
    assertThat(fixture.sends(call)).isEmpty();
  }

  @Test
  void doesNotSendCallWhoseDeadlineHasPassed() {
    long arrivedMs = fixture.nowMs();
    fixture.advance(DispatchFixture.LIMIT_MS);
    fixture.apply(
        new DispatchEvent.CallArrived(
            fixture.nowMs(),
            "late",
            new CallProfile(
                "r",
                DispatchFixture.HOST,
                "/booking/1",
                Optional.of("k1"),
                arrivedMs,
                arrivedMs + 1_500,
                Optional.empty()),
            Optional.empty()));

    assertVerdict("late", Verdict.NOT_RUN);
    assertThat(fixture.sends("late")).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptFault.class,
      names = {"NOT_SENT", "NOBODY_THERE", "REJECTED", "WRONG_TARGET", "OUTDATED"})
  void doesNotSendCallAgainAfterNoTargetRanIt(AttemptFault fault) {
    String call = fixture.call("booking");
    while (fixture.refusal(call).isEmpty()) {
      fixture.failed(call, fault, false);
    }
    assertVerdict(call, Verdict.NOT_RUN);

    int sends = fixture.sends(call).size();
    fixture.tick(2_000);
    assertThat(fixture.sends(call)).hasSize(sends);
  }

  @ParameterizedTest
  @ValueSource(strings = {"booking", "status", "draft", "check"})
  void refusesCallInProgressAtEndOfDrainAsPossiblyRun(String route) {
    String call =
        route.equals("draft") || route.equals("check")
            ? fixture.generate(route, 1_000, 500)
            : fixture.call(route);
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 500));
    fixture.tick(500);

    assertVerdict(call, Verdict.MAY_HAVE_RUN);
  }

  private void assertVerdict(String call, Verdict verdict) {
    assertThat(fixture.refusal(call))
        .hasValueSatisfying(refusal -> assertThat(refusal.verdict()).isEqualTo(verdict));
  }
}
