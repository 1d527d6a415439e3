package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Plays generations with long prompts that many daemons place on the same engines, and checks how
 * long they wait for the prompts that others have placed meanwhile.
 */
class CrowdingTest {

  private static final long SETTLED_MS = 19_000;
  private static final long LOAD_MS = 20_000;
  private static final long PREFILL_MS = 214;
  private static final long DECODE_MS = 6_000;

  /** A tenth of the aim for the first event on the users' sheets. */
  private static final double MAX_MEAN_WAIT_MS = 150;

  @ParameterizedTest
  @CsvSource({"6, 10, 5", "95, 42, 16", "95, 42, 40"})
  void promptsRarelyWaitForThoseOfOtherDaemons(int size, int engines, int perSecond) {
    Fleet fleet = new Fleet(size, engines);
    fleet.load(perSecond);
    fleet.run(SETTLED_MS + LOAD_MS);
    assertThat(fleet.meanWaitMs()).as("mean wait in ms").isLessThan(MAX_MEAN_WAIT_MS);
  }

  private static final class Fleet extends AbstractFleet {

    private final List<RoutedTarget> engines = new ArrayList<>();
    private final Map<String, Long> busyUntilMs = new HashMap<>();
    private long waitedMs;
    private int sent;

    private Fleet(int size, int count) {
      super(1);
      IntStream.range(0, count).forEach(i -> engines.add(DispatchFixture.target("engines", i, 24)));
      start(size);
    }

    private void load(int perSecond) {
      int total = (int) (perSecond * LOAD_MS / 1_000);
      for (int i = 0; i < total; i++) {
        int number = i;
        at(
            SETTLED_MS + random().nextLong(LOAD_MS),
            () ->
                daemons()
                    .get(random().nextInt(daemons().size()))
                    .apply(at -> DispatchFixture.generation(at, "c" + number, KEY)));
      }
    }

    @Override
    List<RoutedTarget> listedTargets() {
      return engines;
    }

    @Override
    void perform(Daemon daemon, Effect effect) {
      if (!(effect instanceof DispatchEffect.SendCall send)) {
        return;
      }
      String engine = send.target().id();
      long waitMs = Math.max(0, busyUntilMs.getOrDefault(engine, 0L) - clock().nowMs());
      sent++;
      waitedMs += waitMs;
      busyUntilMs.put(engine, clock().nowMs() + waitMs + PREFILL_MS);
      clock()
          .after(
              waitMs + PREFILL_MS,
              () ->
                  daemon.apply(
                      at -> new DispatchEvent.AnswerStarted(at, send.callId(), send.attempt())));
      clock()
          .after(
              waitMs + PREFILL_MS + DECODE_MS,
              () ->
                  daemon.apply(
                      at ->
                          new DispatchEvent.AnswerDelivered(
                              at, send.callId(), send.attempt(), 200, "")));
    }

    private double meanWaitMs() {
      return (double) waitedMs / sent;
    }
  }
}
