package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.route.RoutedTarget;

/** Guards against a target that a call may not use, as a paused daemon did not send it in time. */
class OutdatedAttemptTest {

  private final DispatchFixture fixture = new DispatchFixture();

  @ParameterizedTest
  @ValueSource(strings = {"booking", "status"})
  void sendsCallToItsOnlyTargetAfterAttemptThatWasNotSent(String route) {
    listTargets(DispatchFixture.DESK, 1);
    String call = fixture.call(route);

    fixture.failed(call, AttemptFault.OUTDATED, false);

    assertThat(fixture.refusal(call)).isEmpty();
    assertThat(fixture.sends(call)).hasSize(2);
  }

  @Test
  void resumesStreamAtOtherTargetAfterAttemptThatWasNotSent() {
    listTargets(DispatchFixture.ENGINES, 2);
    String call = fixture.generate("check", 300, 40);
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    fixture.failed(call, AttemptFault.OUTDATED, true);

    assertThat(fixture.wasCut(call)).isFalse();
    List<DispatchEffect.SendCall> sends = fixture.sends(call);
    assertThat(sends).hasSize(3);
    assertThat(sends.get(2).target()).isEqualTo(sends.get(1).target());
  }

  @ParameterizedTest
  @CsvSource({"REJECTED", "NOT_SENT", "NOBODY_THERE"})
  void doesNotSendCallToTargetThatFailedItselfAgain(AttemptFault fault) {
    listTargets(DispatchFixture.DESK, 1);
    String call = fixture.call("booking");

    fixture.failed(call, fault, false);

    assertThat(fixture.sends(call)).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"booking", "status"})
  void givesUpCallWhoseAttemptsAreNeverSent(String route) {
    listTargets(DispatchFixture.DESK, 1);
    String call = fixture.call(route);

    fixture.failUntilEnded(call, AttemptFault.OUTDATED, false);

    assertThat(fixture.refusal(call)).isPresent();
    assertThat(fixture.sends(call)).hasSizeBetween(2, 5);
  }

  private void listTargets(String service, int count) {
    List<RoutedTarget> listed =
        DispatchFixture.targets().stream()
            .filter(target -> target.service().equals(service))
            .limit(count)
            .toList();
    fixture.apply(
        new DispatchEvent.SheetLearned(fixture.nowMs(), DispatchFixture.sheet(1, "k1"), "store"));
    fixture.apply(new DispatchEvent.TargetsListed(fixture.nowMs(), 10, listed, "store"));
  }
}
