package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.RoutedTarget;

/** Tests that a run which was copied is never taken for one that has not run. */
class MovedRunVerdictTest {

  private final DispatchFixture fixture = DispatchFixture.ready();

  @ParameterizedTest
  @EnumSource(
      value = AttemptFault.class,
      names = {"REJECTED", "NOT_SENT", "NOBODY_THERE", "WRONG_TARGET", "OUTDATED"})
  void neitherRepeatsNorReportsAsNotRunIfContinuationFailsBeforeFirstEvent(AttemptFault fault) {
    String call = fixture.generate(3_000, 2_000);
    RoutedTarget source = fixture.lastSend(call).target();
    fixture.apply(new DispatchEvent.TargetChanged(fixture.nowMs(), 11, source.asLeaving()));
    for (long tookMs : List.of(180L, 10L, 9L)) {
      fixture.advance(tookMs);
      fixture.apply(
          new DispatchEvent.RunCopied(
              fixture.nowMs(), call, lastCopy(call).round(), CopyOutcome.COPIED, "h1"));
    }
    assertThat(fixture.lastSend(call).continuation()).isPresent();

    fixture.failUntilEnded(call, fault, false);

    assertThat(fixture.sends(call).stream().filter(send -> send.continuation().isEmpty()))
        .as("runs from the beginning")
        .hasSize(1);
    assertThat(fixture.refusal(call))
        .hasValueSatisfying(
            refusal -> assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
  }

  private DispatchEffect.CopyRun lastCopy(String call) {
    List<DispatchEffect.CopyRun> copies = fixture.copies(call);
    return copies.get(copies.size() - 1);
  }
}
