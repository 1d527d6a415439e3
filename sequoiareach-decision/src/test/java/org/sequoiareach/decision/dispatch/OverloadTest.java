package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/**
 * Plays a burst of drafts beyond the memory of the engines that are left. Callers that are refused
 * come back once, when they are told to.
 */
class OverloadTest {

  private static final long RUN_MS = 7_000;
  private static final long STEP_MS = 50;

  private final DispatchFixture fixture = DispatchFixture.ready();
  private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::atMs));
  private int served;
  private int refusedOnce;
  private int refusedAgain;

  private record Due(long atMs, Runnable what) {}

  @Test
  void servesMostCallersWhenTheyComeBack() {
    long startMs = fixture.nowMs();
    for (int i = 0; i < 60; i++) {
      due.add(new Due(startMs + i * 50L, () -> arrive(false)));
    }
    for (int i = 0; i < 20; i++) {
      due.add(new Due(startMs + 3_000 + i * 500L, () -> arrive(false)));
    }
    play(startMs + 30_000);

    assertThat(refusedOnce).isBetween(5, 40);
    assertThat(refusedAgain).isLessThanOrEqualTo(refusedOnce / 10);
    assertThat(served + refusedAgain).isEqualTo(80);
  }

  private void play(long untilMs) {
    while (fixture.nowMs() < untilMs) {
      while (!due.isEmpty() && due.peek().atMs() <= fixture.nowMs()) {
        due.remove().what().run();
      }
      fixture.tick(STEP_MS);
    }
  }

  private void arrive(boolean again) {
    String call = fixture.generate(3_000, 2_000);
    if (fixture.refusal(call).isEmpty()) {
      served++;
      fixture.started(call);
      due.add(new Due(fixture.nowMs() + RUN_MS, () -> fixture.delivered(call)));
      return;
    }
    if (again) {
      refusedAgain++;
      return;
    }
    refusedOnce++;
    long backMs = fixture.nowMs() + fixture.refusal(call).get().retryAfterMs();
    due.add(new Due(backMs, () -> arrive(true)));
  }
}
