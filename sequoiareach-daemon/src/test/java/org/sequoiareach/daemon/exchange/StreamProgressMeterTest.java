package org.sequoiareach.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiareach.decision.dispatch.StreamEvent;
import org.sequoiareach.decision.event.Event;

class StreamProgressMeterTest {

  private final List<Event> posted = new ArrayList<>();
  private final StreamProgressMeter meter = new StreamProgressMeter("c1", posted::add);

  /** Guards against an event of the control thread for each event of a stream. */
  @Test
  void reportsEachSecondAndAtTheEnd() {
    for (int i = 0; i <= 50; i++) {
      meter.onEvent(1_000 + i * 50, 1);
    }
    meter.report();
    meter.report();

    assertThat(posted)
        .containsExactly(
            new StreamEvent.StreamProgressed(2_000, "c1", 1, 20, 1_000),
            new StreamEvent.StreamProgressed(3_000, "c1", 1, 20, 1_000),
            new StreamEvent.StreamProgressed(3_500, "c1", 1, 10, 500));
  }

  /** Guards against reports of runs that are too short to tell anything. */
  @Test
  void reportsNothingOfFewEvents() {
    meter.onEvent(1_000, 1);
    meter.onEvent(1_100, 1);
    meter.report();

    assertThat(posted).isEmpty();
  }

  /** Guards against counting the pause of a migration as slowness of the new engine. */
  @Test
  void leavesOutThePauseBetweenTwoAttempts() {
    meter.onEvent(1_000, 1);
    meter.onEvent(1_500, 1);
    for (int i = 0; i < 6; i++) {
      meter.onEvent(2_500 + i * 200, 2);
    }

    assertThat(posted).containsExactly(new StreamEvent.StreamProgressed(3_500, "c1", 2, 5, 1_000));
  }
}
