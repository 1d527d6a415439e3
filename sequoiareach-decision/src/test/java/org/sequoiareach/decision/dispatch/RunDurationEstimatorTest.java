package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

class RunDurationEstimatorTest {

  private static final Percentage CLOSE = Percentage.withPercentage(10);

  private final RunDurationEstimator durations = new RunDurationEstimator();

  @Test
  void learnsDecodeTimePerToken() {
    GenerationDemand longRun = demand(2_800, 900);
    for (int i = 0; i < 100; i++) {
      durations.record(longRun, 400 + 900 * 12);
    }

    assertThat(durations.estimateMs(longRun)).isCloseTo(400 + 900 * 12, CLOSE);
    assertThat(durations.estimateMaxMs(longRun)).isCloseTo(400 + 1_800 * 12, CLOSE);
  }

  @Test
  void excludesPrefillFromDecodeTime() {
    GenerationDemand longRun = demand(2_800, 900);
    GenerationDemand shortRun = demand(2_100, 12);
    for (int i = 0; i < 100; i++) {
      durations.record(longRun, 400 + 900 * 7);
      durations.record(shortRun, 500);
      durations.record(shortRun, 500);
    }

    assertThat(durations.estimateMs(longRun)).isCloseTo(400 + 900 * 7, CLOSE);
    assertThat(durations.estimateMaxMs(shortRun)).isLessThan(1_000);
  }

  private static GenerationDemand demand(long prompt, long output) {
    return new GenerationDemand("m", prompt, 2 * output, OptionalLong.of(output), List.of());
  }
}
