package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.TimeEvent;

/** Measures answer times in virtual time at three targets of six slots with slow spells. */
class HedgeLoadTest {

  private static final long DURATION_MS = 60_000;
  private static final long WARM_UP_MS = 10_000;
  private static final double WORK_MS = 21;
  private static final double SLOW_FACTOR = 2.5;
  private static final double SLOW_SHARE = 0.15;
  private static final long SPELL_MS = 600;

  /** Guards against hedging that costs work but does not shorten the slowest answers. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void shortensSlowAnswersWithinRatio(boolean spells) {
    Simulation without = new Simulation(0, 95, spells);
    Simulation with = new Simulation(0.2, 95, spells);

    without.run();
    with.run();

    assertThat(with.percentile(0.95))
        .as(with + " instead of " + without)
        .isLessThan(without.percentile(0.95));
    assertThat(with.percentile(0.99)).isLessThanOrEqualTo(without.percentile(0.99));
    assertThat(with.hedges).isBetween(1, (int) (0.2 * with.arrived));
  }

  /** Guards against extra work that makes all answers of a crowded service slower. */
  @Test
  void turnsItselfOffInOverload() {
    Simulation without = new Simulation(0, 800, true);
    Simulation with = new Simulation(0.2, 800, true);

    without.run();
    with.run();

    assertThat((double) with.hedges / with.arrived).isLessThan(0.01);
    assertThat(with.answers.size()).isGreaterThan((int) (0.98 * without.answers.size()));
  }

  private record Work(String callId, int attempt, long arrivedMs) {}

  private static final class Target {
    private final Map<Work, Long> running = new HashMap<>();
    private final Deque<Work> waiting = new ArrayDeque<>();
    private long slowUntilMs;
    private long spellEndMs;
  }

  private static final class Simulation {

    private final DispatchFixture fixture = DispatchFixture.ready();
    private final Map<String, Target> targets = new HashMap<>();
    private final Map<String, Long> arrivals = new HashMap<>();
    private final List<Long> answers = new ArrayList<>();
    private final Random random = new Random(6);
    private final Random spellRandom = new Random(7);
    private final double callsPerSecond;
    private final boolean spells;
    private final long startMs;
    private int arrived;
    private int hedges;
    private long wakeUpMs = Long.MAX_VALUE;

    Simulation(double ratio, double callsPerSecond, boolean spells) {
      this.callsPerSecond = callsPerSecond;
      this.spells = spells;
      this.startMs = fixture.nowMs();
      HedgeFixtures.setRatio(fixture, ratio);
      for (int i = 0; i < 3; i++) {
        targets.put(DispatchFixture.DESK + i, new Target());
      }
    }

    void run() {
      while (fixture.nowMs() < startMs + DURATION_MS) {
        fixture.advance(1);
        final long nowMs = fixture.nowMs();
        if (random.nextDouble() < callsPerSecond / 1_000) {
          arrived++;
          String callId = "x" + arrived;
          arrivals.put(callId, nowMs);
          perform(HedgeFixtures.arrive(fixture, callId, 800));
        }
        targets.values().forEach(this::progress);
        if (nowMs >= wakeUpMs) {
          wakeUpMs = Long.MAX_VALUE;
          perform(fixture.apply(new HedgeEvent.WakeUp(nowMs)));
        }
        if (nowMs % 50 == 0) {
          perform(fixture.apply(new TimeEvent.Ticked(nowMs)));
        }
      }
    }

    private void progress(Target target) {
      final long nowMs = fixture.nowMs();
      if (nowMs >= target.spellEndMs) {
        target.spellEndMs = nowMs + SPELL_MS;
        target.slowUntilMs = spellRandom.nextDouble() < SLOW_SHARE ? target.spellEndMs : 0;
      }
      List<Work> done =
          target.running.entrySet().stream()
              .filter(entry -> entry.getValue() <= nowMs)
              .map(Map.Entry::getKey)
              .toList();
      done.forEach(work -> complete(target, work));
      while (target.running.size() < 6 && !target.waiting.isEmpty()) {
        boolean slow = spells ? nowMs < target.slowUntilMs : spellRandom.nextDouble() < SLOW_SHARE;
        double workMs = WORK_MS * (0.9 + 0.2 * random.nextDouble()) * (slow ? SLOW_FACTOR : 1);
        target.running.put(target.waiting.removeFirst(), nowMs + Math.round(workMs));
      }
    }

    private void complete(Target at, Work work) {
      at.running.remove(work);
      Long arrivedMs = arrivals.remove(work.callId());
      if (arrivedMs == null) {
        return;
      }
      long nowMs = fixture.nowMs();
      if (nowMs > startMs + WARM_UP_MS) {
        answers.add(nowMs - arrivedMs);
      }
      if (cancel(work.callId())) {
        perform(fixture.apply(new HedgeEvent.AttemptWon(nowMs, work.callId(), work.attempt())));
      }
      perform(
          fixture.apply(
              new DispatchEvent.AnswerDelivered(nowMs, work.callId(), work.attempt(), 200, "")));
    }

    private boolean cancel(String callId) {
      boolean found = false;
      for (Target target : targets.values()) {
        found |= target.running.keySet().removeIf(work -> work.callId().equals(callId));
        found |= target.waiting.removeIf(work -> work.callId().equals(callId));
      }
      return found;
    }

    private void perform(List<Effect> effects) {
      for (Effect effect : effects) {
        if (effect instanceof DispatchEffect.SendCall send) {
          enqueue(send);
        } else if (effect instanceof DispatchEffect.HedgeCall hedge) {
          hedges++;
          enqueue(hedge.send());
        } else if (effect instanceof DispatchEffect.WakeAt wake) {
          wakeUpMs = Math.min(wakeUpMs, wake.atMs());
        } else if (effect instanceof DispatchEffect.RefuseCall refuse) {
          arrivals.remove(refuse.callId());
          cancel(refuse.callId());
        }
      }
    }

    private void enqueue(DispatchEffect.SendCall send) {
      targets
          .get(send.target().id())
          .waiting
          .add(new Work(send.callId(), send.attempt(), fixture.nowMs()));
    }

    long percentile(double share) {
      List<Long> sorted = answers.stream().sorted().toList();
      return sorted.get((int) (share * (sorted.size() - 1)));
    }

    @Override
    public String toString() {
      return "arrived="
          + arrived
          + " answered="
          + answers.size()
          + " hedges="
          + hedges
          + " p50="
          + percentile(0.5)
          + " p95="
          + percentile(0.95)
          + " p99="
          + percentile(0.99)
          + " "
          + countOutcomes();
    }

    private Map<String, Long> countOutcomes() {
      Map<String, Long> counts = new TreeMap<>();
      HedgeFixtures.outcomes(fixture).forEach(outcome -> counts.merge(outcome, 1L, Long::sum));
      return counts;
    }
  }
}
