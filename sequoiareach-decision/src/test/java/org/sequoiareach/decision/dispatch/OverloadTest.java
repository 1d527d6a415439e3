package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/**
 * Simulates a burst of long generations that exceeds the memory of the engines. A refused caller
 * retries once, after the delay of its refusal.
 */
class OverloadTest {

  private static final long RUN_MS = 7_000;
  private static final long STEP_MS = 50;

  private final DispatchFixture fixture = DispatchFixture.ready();
  private final PriorityQueue<ScheduledAction> scheduled =
      new PriorityQueue<>(Comparator.comparingLong(ScheduledAction::atMs));
  private int served;
  private int refusedFirst;
  private int refusedOnRetry;

  private record ScheduledAction(long atMs, Runnable action) {}

  @Test
  void servesMostRefusedCallersOnRetry() {
    long startMs = fixture.nowMs();
    for (int i = 0; i < 60; i++) {
      scheduled.add(new ScheduledAction(startMs + i * 50L, () -> arrive(false)));
    }
    for (int i = 0; i < 20; i++) {
      scheduled.add(new ScheduledAction(startMs + 3_000 + i * 500L, () -> arrive(false)));
    }
    advanceTo(startMs + 30_000);

    assertThat(refusedFirst).isBetween(5, 40);
    assertThat(refusedOnRetry).isLessThanOrEqualTo(refusedFirst / 10);
    assertThat(served + refusedOnRetry).isEqualTo(80);
  }

  private void advanceTo(long untilMs) {
    while (fixture.nowMs() < untilMs) {
      while (!scheduled.isEmpty() && scheduled.peek().atMs() <= fixture.nowMs()) {
        scheduled.remove().action().run();
      }
      fixture.tick(STEP_MS);
    }
  }

  private void arrive(boolean isRetry) {
    String call = fixture.generate(3_000, 2_000);
    if (fixture.refusal(call).isEmpty()) {
      served++;
      fixture.started(call);
      scheduled.add(new ScheduledAction(fixture.nowMs() + RUN_MS, () -> fixture.delivered(call)));
      return;
    }
    if (isRetry) {
      refusedOnRetry++;
      return;
    }
    refusedFirst++;
    long retryAtMs = fixture.nowMs() + fixture.refusal(call).get().retryAfterMs();
    scheduled.add(new ScheduledAction(retryAtMs, () -> arrive(true)));
  }
}
