package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.effect.Effect;

/** Guards against a target that answers with wrong bytes and is used as if it were sound. */
class InvalidReportTest {

  private static final long REPORT_INTERVAL_MS = 500;

  @ParameterizedTest
  @CsvSource({"1, false", "10, true"})
  void ejectsTargetOfRepeatedInvalidReports(int reports, boolean ejected) {
    DispatchFixture daemon = DispatchFixture.ready();
    for (int i = 0; i < reports; i++) {
      daemon.apply(new AvailabilityEvent.ReportInvalid(daemon.nowMs(), "desk0"));
      daemon.tick(REPORT_INTERVAL_MS);
    }

    assertThat(daemon.all(Effect.LogDecision.class))
        .anyMatch(
            line -> line.decision().equals("report-invalid") && line.targetId().equals("desk0"));
    assertThat(
            daemon.all(Effect.LogDecision.class).stream()
                .anyMatch(line -> line.decision().equals("eject")))
        .isEqualTo(ejected);
  }
}
