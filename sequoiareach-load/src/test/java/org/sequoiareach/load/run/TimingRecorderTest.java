package org.sequoiareach.load.run;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiareach.load.check.Timings;

class TimingRecorderTest {

  @Test
  void measuresFromScheduledArrival() {
    TimingRecorder recorder = new TimingRecorder(1_000);
    recorder.onToken(1_500);
    recorder.onToken(1_520);
    recorder.onToken(1_520);

    Timings timings = recorder.finish(2_000);

    assertThat(timings.firstTokenNs()).isEqualTo(Optional.of(500L));
    assertThat(timings.gapsNs()).containsExactly(20, 0);
    assertThat(timings.endNs()).isEqualTo(1_000);
  }

  @Test
  void countsOpenGapOfAbortedAnswer() {
    TimingRecorder recorder = new TimingRecorder(0);
    recorder.onToken(10);
    recorder.onAbort(400);

    assertThat(recorder.finish(400).gapsNs()).containsExactly(390);
    assertThat(recorder.finish(400).stallNs(200)).isEqualTo(190);
  }

  @Test
  void excludesGapCausedByClient() {
    TimingRecorder recorder = new TimingRecorder(0);
    recorder.onToken(10);
    recorder.skipNextGap();
    recorder.onToken(500);
    recorder.onToken(510);

    assertThat(recorder.finish(510).gapsNs()).containsExactly(10);
  }
}
