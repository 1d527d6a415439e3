package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RunDurationEstimatorTest {

  private static final Percentage CLOSE = Percentage.withPercentage(10);

  private final RunDurationEstimator durations = new RunDurationEstimator();

  @ParameterizedTest
  @CsvSource({"0.33", "1", "3"})
  void learnsSpeedOfEngines(double slowdown) {
    GenerationDemand longRun = demand(2_800, 900);
    GenerationDemand shortRun = demand(2_100, 12);
    for (int i = 0; i < 100; i++) {
      observe(longRun, 400 * slowdown, 900 * 7 * slowdown);
      observe(shortRun, 300 * slowdown, 12 * 7 * slowdown);
      observe(shortRun, 300 * slowdown, 12 * 7 * slowdown);
    }

    assertThat(durations.estimateMs(longRun))
        .isCloseTo(Math.round((400 + 900 * 7) * slowdown), CLOSE);
    assertThat(durations.estimateDecodeMs(longRun))
        .isCloseTo(Math.round(900 * 7 * slowdown), CLOSE);
    assertThat(durations.estimateMs(shortRun))
        .isCloseTo(Math.round((300 + 12 * 7) * slowdown), CLOSE);
    assertThat(durations.prefillTokensPerMs()).isCloseTo(7 / slowdown, CLOSE);
  }

  @Test
  void followsEnginesThatTurnSlow() {
    GenerationDemand run = demand(2_800, 900);
    for (int i = 0; i < 100; i++) {
      observe(run, 400, 900 * 7);
    }
    for (int i = 0; i < 50; i++) {
      observe(run, 1_200, 900 * 21);
    }

    assertThat(durations.estimateMs(run)).isCloseTo(1_200 + 900 * 21, CLOSE);
  }

  private void observe(GenerationDemand demand, double prefillMs, double decodeMs) {
    durations.recordPrefill(demand, Math.round(prefillMs));
    durations.recordDecode(demand, Math.round(decodeMs));
  }

  private static GenerationDemand demand(long prompt, long output) {
    return new GenerationDemand("m", prompt, 2 * output, OptionalLong.of(output), List.of());
  }
}
