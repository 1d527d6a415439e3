package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

class RunDurationsTest {

  private static final Percentage CLOSE = Percentage.withPercentage(10);

  private final RunDurations durations = new RunDurations();

  @Test
  void followsTheTimeOfTokens() {
    GenerationDemand draft = demand(2_800, 900);
    for (int i = 0; i < 100; i++) {
      durations.ended(draft, 400 + 900 * 12);
    }

    assertThat(durations.estimateMs(draft)).isCloseTo(400 + 900 * 12, CLOSE);
    assertThat(durations.longestMs(draft)).isCloseTo(400 + 1_800 * 12, CLOSE);
  }

  @Test
  void doesNotTakeTheReadingOfPromptsForTheTimeOfTokens() {
    GenerationDemand draft = demand(2_800, 900);
    GenerationDemand check = demand(2_100, 12);
    for (int i = 0; i < 100; i++) {
      durations.ended(draft, 400 + 900 * 7);
      durations.ended(check, 500);
      durations.ended(check, 500);
    }

    assertThat(durations.estimateMs(draft)).isCloseTo(400 + 900 * 7, CLOSE);
    assertThat(durations.longestMs(check)).isLessThan(1_000);
  }

  private static GenerationDemand demand(long prompt, long output) {
    return new GenerationDemand("m", prompt, 2 * output, OptionalLong.of(output), List.of());
  }
}
