package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.request.Verdict;

/**
 * Plays random orders of two answers, failures, the caller's leaving and deadlines to the reducer
 * and a model of the exchange, between which effects and events are under way for some time.
 */
class HedgePropertyTest {

  private static final int MAX_TARGETS = 2;
  private static final long STEP_MS = 10;

  /** Well above the route's time limit of 800 ms. */
  private static final int STEPS = 150;

  @Property(tries = 1_500, seed = "20261206")
  void deliversOneWholeAnswerAtMost(@ForAll long seed) {
    Run run = new Run(seed);
    run.play();
    run.check();
  }

  /** Guards against a model that never comes to the state that it tests. */
  @Property(tries = 1)
  void comesToConcurrentAttempts() {
    int hedged = 0;
    for (long seed = 0; seed < 200; seed++) {
      Run run = new Run(seed);
      run.play();
      hedged += run.hedges > 0 ? 1 : 0;
    }
    assertThat(hedged).isGreaterThan(60);
  }

  private static final class Run {

    private final Random random;
    private final DispatchFixture fixture = HedgeFixtures.learned(0.5);
    private final Deque<Effect> effects = new ArrayDeque<>();
    private final Deque<DispatchEvent> events = new ArrayDeque<>();
    private final Map<Integer, DispatchEffect.SendCall> inProgress = new LinkedHashMap<>();
    private final Set<Integer> decided = new HashSet<>();
    private final Set<String> mayHaveRun = new HashSet<>();
    private final List<String> written = new ArrayList<>();
    private String callId = "";
    private long deadlineMs;
    private boolean headSent;
    private boolean ended;
    private boolean leftKnown;
    private boolean reducerEnded;
    private int hedges;

    Run(long seed) {
      random = new Random(seed);
    }

    void play() {
      deadlineMs = fixture.nowMs() + DispatchFixture.LIMIT_MS;
      HedgeFixtures.arrive(fixture, "x", 1_500).forEach(this::receive);
      callId = "x";
      // A slow answer, so that most runs come to a second attempt.
      int quietSteps = random.nextInt(8);
      for (int step = 0; step < STEPS; step++) {
        fixture.advance(STEP_MS);
        apply(new HedgeEvent.WakeUp(fixture.nowMs()));
        if (step % 5 == 0) {
          fixture.apply(new TimeEvent.Ticked(fixture.nowMs())).forEach(this::receive);
        }
        exchangeSome();
        if (step >= quietSteps && random.nextInt(6) == 0) {
          act();
        }
      }
      while (!effects.isEmpty() || !events.isEmpty()) {
        exchangeSome();
      }
    }

    /** Lets some effects reach the exchange and some events reach the reducer. */
    private void exchangeSome() {
      while (!effects.isEmpty() && random.nextInt(3) > 0) {
        perform(effects.removeFirst());
      }
      while (!events.isEmpty() && random.nextInt(3) > 0) {
        DispatchEvent event = events.removeFirst();
        leftKnown |= event instanceof DispatchEvent.CallerLeft;
        apply(event);
      }
    }

    private void act() {
      if (ended) {
        return;
      }
      if (random.nextInt(12) == 0) {
        ended = true;
        inProgress.clear();
        events.add(new DispatchEvent.CallerLeft(fixture.nowMs(), callId));
        return;
      }
      if (inProgress.isEmpty()) {
        return;
      }
      List<Integer> numbers = new ArrayList<>(inProgress.keySet());
      int number = numbers.get(random.nextInt(numbers.size()));
      if (random.nextBoolean()) {
        answer(number);
      } else {
        fail(number);
      }
    }

    private void answer(int number) {
      DispatchEffect.SendCall winner = inProgress.remove(number);
      headSent = true;
      ended = true;
      written.add("answer of " + winner.target().id());
      if (!inProgress.isEmpty()) {
        events.add(new HedgeEvent.AttemptWon(fixture.nowMs(), callId, number));
      }
      inProgress.clear();
      events.add(new DispatchEvent.AnswerDelivered(fixture.nowMs(), callId, number, 200, ""));
    }

    private void fail(int number) {
      AttemptFault[] faults = AttemptFault.values();
      AttemptFault fault = faults[random.nextInt(faults.length)];
      DispatchEffect.SendCall failed = inProgress.remove(number);
      if (!fault.mayHaveRun()) {
        mayHaveRun.remove(failed.target().id());
      }
      events.add(
          new DispatchEvent.AttemptFailed(
              fixture.nowMs(), callId, number, fault, 0, false, random.nextBoolean(), ""));
    }

    private void apply(DispatchEvent event) {
      fixture.apply(event).forEach(this::receive);
    }

    /** Checks an effect when the reducer decides on it. */
    private void receive(Effect effect) {
      if (effect instanceof DispatchEffect.SendCall send) {
        onDecided(send);
      } else if (effect instanceof DispatchEffect.HedgeCall hedge) {
        hedges++;
        onDecided(hedge.send());
      } else if (effect instanceof DispatchEffect.RefuseCall
          || effect instanceof DispatchEffect.DeliverHeldAnswer
          || effect instanceof DispatchEffect.CutCall) {
        assertThat(reducerEnded).as("the call ended before").isFalse();
        reducerEnded = true;
      }
      effects.add(effect);
    }

    private void onDecided(DispatchEffect.SendCall send) {
      assertThat(leftKnown).as("the caller left before " + send).isFalse();
      assertThat(reducerEnded).as("the call ended before " + send).isFalse();
      assertThat(decided.add(send.attempt())).as("a new number in " + send).isTrue();
      assertThat(send.deadlineMs()).as("the deadline of both attempts").isEqualTo(deadlineMs);
    }

    /** Does what the exchange does with an effect. */
    private void perform(Effect effect) {
      if (ended) {
        return;
      }
      if (effect instanceof DispatchEffect.SendCall send) {
        start(send);
      } else if (effect instanceof DispatchEffect.HedgeCall hedge && !headSent) {
        start(hedge.send());
      } else if (effect instanceof DispatchEffect.RefuseCall refuse) {
        written.add("refusal");
        if (refuse.verdict() == Verdict.NOT_RUN) {
          assertThat(mayHaveRun).as("targets that may have run a call that was not run").isEmpty();
        }
        end();
      } else if (effect instanceof DispatchEffect.DeliverHeldAnswer) {
        written.add("held answer");
        assertThat(inProgress).as("attempts beside a held answer").isEmpty();
        end();
      } else if (effect instanceof DispatchEffect.CutCall) {
        end();
      }
    }

    private void start(DispatchEffect.SendCall send) {
      inProgress.put(send.attempt(), send);
      mayHaveRun.add(send.target().id());
      assertThat(inProgress.values().stream().map(at -> at.target().id()).distinct().count())
          .as("different targets of concurrent attempts")
          .isEqualTo(inProgress.size());
    }

    private void end() {
      ended = true;
      inProgress.clear();
    }

    void check() {
      assertThat(written).as("what the caller gets").hasSizeLessThanOrEqualTo(1);
      assertThat(mayHaveRun).as("targets").hasSizeLessThanOrEqualTo(MAX_TARGETS);
      assertThat(ended).as("the call has ended").isTrue();
      assertThat(hedges).isLessThanOrEqualTo(1);
    }
  }
}
