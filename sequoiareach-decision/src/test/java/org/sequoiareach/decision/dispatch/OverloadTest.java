package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.admission.ImmediateAdmission;

/**
 * Simulates a burst of long generations that exceeds the memory of the engines. A refused caller
 * retries once, after the delay of its refusal.
 */
class OverloadTest {

  private static final long RUN_MS = 7_000;
  private static final long STEP_MS = 50;
  private static final long TIMEOUT_MS = 39_000;

  private final PriorityQueue<ScheduledAction> scheduled =
      new PriorityQueue<>(Comparator.comparingLong(ScheduledAction::atMs));
  private final Map<String, Boolean> undecided = new LinkedHashMap<>();
  private DispatchFixture fixture;
  private int served;
  private int refusedFirst;
  private int refusedOnRetry;

  private record ScheduledAction(long atMs, Runnable action) {}

  @ParameterizedTest
  @CsvSource({"true, 5", "false, 0"})
  void servesMostRefusedCallersOnRetry(boolean immediate, int minRefused) {
    fixture =
        immediate
            ? DispatchFixture.ready(draw -> new ImmediateAdmission())
            : DispatchFixture.ready();
    long startMs = fixture.nowMs();
    for (int i = 0; i < 60; i++) {
      scheduled.add(new ScheduledAction(startMs + i * 50L, () -> arrive(false)));
    }
    for (int i = 0; i < 20; i++) {
      scheduled.add(new ScheduledAction(startMs + 3_000 + i * 500L, () -> arrive(false)));
    }
    advanceTo(startMs + 30_000);

    assertThat(refusedFirst).isBetween(minRefused, 40);
    assertThat(refusedOnRetry).isLessThanOrEqualTo(refusedFirst / 10);
    assertThat(served + refusedOnRetry).isEqualTo(80);
  }

  private void advanceTo(long untilMs) {
    while (fixture.nowMs() < untilMs) {
      while (!scheduled.isEmpty() && scheduled.peek().atMs() <= fixture.nowMs()) {
        scheduled.remove().action().run();
      }
      Map.copyOf(undecided).forEach(this::observe);
      fixture.tick(STEP_MS);
    }
  }

  private void arrive(boolean isRetry) {
    arrive(isRetry, TIMEOUT_MS);
  }

  private void arrive(boolean isRetry, long leftMs) {
    String call = fixture.generateWithin(leftMs, 3_000, 2_000);
    undecided.put(call, isRetry);
    observe(call, isRetry);
  }

  /** Lets a call run that was sent, and its caller return that was refused. */
  private void observe(String call, boolean isRetry) {
    if (!fixture.sends(call).isEmpty()) {
      undecided.remove(call);
      served++;
      fixture.started(call);
      scheduled.add(new ScheduledAction(fixture.nowMs() + RUN_MS, () -> fixture.delivered(call)));
    } else if (fixture.refusal(call).isPresent()) {
      undecided.remove(call);
      onRefused(call, isRetry);
    }
  }

  private void onRefused(String call, boolean isRetry) {
    if (isRetry) {
      refusedOnRetry++;
      return;
    }
    refusedFirst++;
    long retryAfterMs = fixture.refusal(call).get().retryAfterMs();
    scheduled.add(
        new ScheduledAction(
            fixture.nowMs() + retryAfterMs, () -> arrive(true, TIMEOUT_MS - retryAfterMs)));
  }
}
