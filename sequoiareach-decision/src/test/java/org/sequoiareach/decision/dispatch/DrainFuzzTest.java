package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.request.Verdict;

/**
 * Plays calls of all kinds that arrive throughout a drain at targets of any speed, some of which
 * reject or lose them first. Guards against late calls that are passed on and cut by the stop.
 */
class DrainFuzzTest {

  private static final long DRAIN_MS = 7_600;
  private static final long STEP_MS = 50;

  /** Callers that send later than this after the order to stop must not be cut. */
  private static final long EXCUSED_MS = 3_000;

  private static final long MAX_ANSWER_MS = 12_000;

  private final DispatchFixture fixture = DispatchFixture.ready();
  private final Map<String, Long> arrivedMs = new HashMap<>();
  private final Map<String, Long> deadlines = new HashMap<>();
  private final Map<Integer, Long> answersMs = new HashMap<>();

  @Property(tries = 300, seed = "20261205")
  void cutsNoCallThatCameLateBeforeItsDeadline(@ForAll long seed) {
    new DrainFuzzTest().play(new Random(seed));
  }

  private void play(Random random) {
    final long drainedMs = fixture.nowMs();
    fixture.apply(new TimeEvent.DrainRequested(drainedMs, drainedMs + DRAIN_MS));
    // Keeps the process running until the end of the drain.
    arrive("draft", 39_000);
    answersMs.put(0, Long.MAX_VALUE);
    int seen = 0;
    while (fixture.nowMs() < drainedMs + DRAIN_MS) {
      if (random.nextInt(3) == 0) {
        String route = List.of("draft", "check", "status", "booking").get(random.nextInt(4));
        arrive(route, random.nextBoolean() ? 39_000 : 100 + random.nextInt(6_000));
      }
      answerDue(random);
      List<Effect> made = fixture.apply(new TimeEvent.Ticked(fixture.nowMs()));
      made.forEach(effect -> check(drainedMs, effect));
      seen += made.size();
      fixture.advance(STEP_MS);
    }
    fixture
        .apply(new TimeEvent.Ticked(fixture.nowMs()))
        .forEach(effect -> check(drainedMs, effect));
    assertThat(seen).as("effects of the play").isPositive();
  }

  private void arrive(String route, long timeoutMs) {
    boolean plain = route.equals("status") || route.equals("booking");
    String call = fixture.callWithin(route, timeoutMs, plain);
    arrivedMs.put(call, fixture.nowMs());
    long limitMs = plain ? DispatchFixture.LIMIT_MS : timeoutMs;
    deadlines.put(call, fixture.nowMs() + Math.min(timeoutMs, limitMs));
  }

  /** Lets the targets answer, reject or lose the attempts that are due. */
  private void answerDue(Random random) {
    List<DispatchEffect.SendCall> sends =
        new ArrayList<>(fixture.all(DispatchEffect.SendCall.class));
    for (int i = 0; i < sends.size(); i++) {
      long dueMs =
          answersMs.computeIfAbsent(
              i, key -> fixture.nowMs() + STEP_MS + random.nextInt((int) MAX_ANSWER_MS));
      String call = sends.get(i).callId();
      boolean latest = fixture.lastSend(call).attempt() == sends.get(i).attempt();
      if (!latest || fixture.nowMs() < dueMs) {
        continue;
      }
      switch (random.nextInt(4)) {
        case 0 -> fixture.failed(call, AttemptFault.REJECTED, false);
        case 1 -> fixture.failed(call, AttemptFault.LOST, false);
        default -> fixture.delivered(call);
      }
    }
  }

  private void check(long drainedMs, Effect effect) {
    boolean refused =
        effect instanceof DispatchEffect.RefuseCall refusal
            && refusal.verdict() == Verdict.MAY_HAVE_RUN;
    if (!refused && !(effect instanceof DispatchEffect.CutCall)) {
      return;
    }
    String call =
        effect instanceof DispatchEffect.CutCall cut
            ? cut.callId()
            : ((DispatchEffect.RefuseCall) effect).callId();
    boolean excused =
        arrivedMs.get(call) - drainedMs <= EXCUSED_MS || fixture.nowMs() >= deadlines.get(call);
    assertThat(excused)
        .as("%s after %s ms: %s", call, arrivedMs.get(call) - drainedMs, effect)
        .isTrue();
  }
}
