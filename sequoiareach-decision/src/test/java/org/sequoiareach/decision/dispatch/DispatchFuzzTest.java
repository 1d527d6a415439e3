package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Applies random event sequences to the reducer and checks its effects against an oracle that knows
 * only what callers and targets observe.
 */
class DispatchFuzzTest {

  private static final int STEPS = 400;

  /** The time within which entries that expired during a store outage are restored. */
  private static final long EXPIRY_MS = 2_000;

  private static final AttemptFault[] FAULTS = AttemptFault.values();

  @Property(tries = 300)
  void keepsInvariantsUnderRandomEvents(@ForAll long seed) {
    new RandomSession(seed).execute();
  }

  @Property(tries = 300)
  void neverRunsAgainOrRefusesAsNotRunWhatTargetsMayRun(@ForAll long seed) {
    new SimulatedTargetsSession(seed).execute();
  }

  /** Leaves the outcome of every attempt and copy to simulated targets. */
  private static final class SimulatedTargetsSession {

    private final SplittableRandom random;
    private final DispatchFixture fixture = DispatchFixture.ready();
    private final SimulatedTargets targets;
    private final Map<String, RoutedTarget> latest = new HashMap<>();
    private long revision = 100;

    private SimulatedTargetsSession(long seed) {
      this.random = new SplittableRandom(seed);
      this.targets = new SimulatedTargets(fixture, random);
    }

    private void execute() {
      int drainStep = random.nextInt(2 * STEPS);
      for (int i = 0; i < STEPS; i++) {
        fixture.advance(random.nextInt(20));
        if (i == drainStep) {
          fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 4_000));
        }
        step();
        targets.check();
      }
      fixture.tick(45_000);
      targets.check();
      targets.checkAllEnded();
    }

    private void step() {
      switch (random.nextInt(20)) {
        case 0 -> fixture.call(random.nextBoolean() ? "booking" : "status");
        case 1, 2 -> generate();
        case 3, 4, 5 -> targets.begin();
        case 6 -> targets.answer();
        case 7 -> targets.complete();
        case 8, 9, 10 -> targets.fail();
        case 11, 12, 13, 14, 15 -> targets.endCopy();
        case 16, 17 -> changeTarget();
        case 18 -> targets.leaveCaller();
        default -> fixture.tick(50);
      }
    }

    private void generate() {
      String route = random.nextBoolean() ? "check" : "draft";
      fixture.generate(route, random.nextInt(5_000), random.nextInt(2_000));
    }

    /** Announces that a target is leaving, or its next incarnation. */
    private void changeTarget() {
      revision++;
      List<RoutedTarget> all = DispatchFixture.targets();
      RoutedTarget listed = all.get(random.nextInt(all.size()));
      RoutedTarget known = latest.getOrDefault(listed.id(), listed);
      RoutedTarget changed = known.leaving() ? nextIncarnation(known) : known.asLeaving();
      latest.put(changed.id(), changed);
      targets.onTargetChanged(changed);
      fixture.apply(new DispatchEvent.TargetChanged(fixture.nowMs(), revision, changed));
    }

    private RoutedTarget nextIncarnation(RoutedTarget target) {
      return new RoutedTarget(
          target.id(),
          revision,
          target.service(),
          target.address(),
          target.zone(),
          target.slots(),
          false);
    }
  }

  private static final class RandomSession {

    private final SplittableRandom random;
    private final DispatchFixture fixture = DispatchFixture.ready();
    private final Oracle oracle = new Oracle();
    private final List<String> open = new ArrayList<>();
    private final Set<String> started = new HashSet<>();
    private final Map<String, RoutedTarget> latest = new HashMap<>();
    private long revision = 100;

    private RandomSession(long seed) {
      this.random = new SplittableRandom(seed);
    }

    private void execute() {
      for (int i = 0; i < STEPS; i++) {
        int seen = fixture.all(Effect.class).size();
        step();
        List<Effect> effects = fixture.all(Effect.class);
        oracle.check(fixture.nowMs(), effects.subList(seen, effects.size()));
        open.removeIf(oracle::isEnded);
      }
      for (long endMs = fixture.nowMs() + 45_000; fixture.nowMs() < endMs; ) {
        // Checked at each step: a waiting call may be sent long before the end.
        fixture.advance(50);
        oracle.check(fixture.nowMs(), fixture.apply(new TimeEvent.Ticked(fixture.nowMs())));
      }
      assertThat(open.stream().filter(call -> !oracle.isEnded(call)))
          .as("calls that never end")
          .isEmpty();
    }

    private void step() {
      fixture.advance(random.nextInt(40));
      switch (random.nextInt(10)) {
        case 0, 1 -> open.add(arrive("booking"));
        case 2 -> open.add(arrive("status"));
        case 3, 4 -> open.add(generate());
        case 5 -> succeed();
        case 6 -> fail();
        case 7 -> changeTarget();
        case 8 -> endCopy();
        default -> fixture.tick(50);
      }
    }

    private String arrive(String route) {
      String call = fixture.call(route);
      oracle.arrived(call, route.equals("status"));
      return call;
    }

    private String generate() {
      boolean resumable = random.nextBoolean();
      String route = resumable ? "check" : "draft";
      String call = fixture.generate(route, random.nextInt(5_000), random.nextInt(2_000));
      oracle.arrived(call, resumable);
      return call;
    }

    private void succeed() {
      pick()
          .ifPresent(
              call -> {
                fixture.started(call);
                if (started.add(call) && random.nextBoolean()) {
                  return;
                }
                fixture.delivered(call);
                oracle.delivered(call);
              });
    }

    private void fail() {
      pick()
          .ifPresent(
              call -> {
                AttemptFault fault = FAULTS[random.nextInt(FAULTS.length)];
                oracle.failed(call, fault);
                if (fault == AttemptFault.REJECTED && random.nextBoolean()) {
                  requestBackoff(fixture.lastSend(call).target());
                }
                fixture.failed(call, fault, started.contains(call));
              });
    }

    private void requestBackoff(RoutedTarget target) {
      long untilMs = fixture.nowMs() + 1 + random.nextInt(5_000);
      oracle.backoffRequested(target, untilMs);
      fixture.apply(
          new DispatchEvent.BackoffRequested(fixture.nowMs(), target.id(), untilMs, "r0"));
    }

    private void endCopy() {
      List<DispatchEffect.CopyRun> copies = fixture.all(DispatchEffect.CopyRun.class);
      if (copies.isEmpty()) {
        return;
      }
      DispatchEffect.CopyRun copy = copies.get(copies.size() - 1);
      CopyOutcome outcome = CopyOutcome.values()[random.nextInt(CopyOutcome.values().length)];
      String handle = outcome == CopyOutcome.COPIED || random.nextBoolean() ? "h" : "";
      fixture.apply(
          new DispatchEvent.RunCopied(
              fixture.nowMs(), copy.callId(), copy.round(), outcome, handle));
    }

    private void changeTarget() {
      revision++;
      List<RoutedTarget> targets = DispatchFixture.targets();
      RoutedTarget listed = targets.get(random.nextInt(targets.size()));
      final RoutedTarget target = latest.getOrDefault(listed.id(), listed);
      switch (random.nextInt(5)) {
        case 4 -> restoreStore();
        case 0 -> {
          oracle.leaves(fixture.nowMs(), target);
          oracle.announced(target);
          fixture.apply(
              new DispatchEvent.TargetChanged(fixture.nowMs(), revision, target.asLeaving()));
        }
        case 1 -> {
          oracle.leaves(fixture.nowMs(), target);
          fixture.apply(new DispatchEvent.TargetRemoved(fixture.nowMs(), revision, target.id()));
        }
        case 2 -> {
          RoutedTarget next =
              new RoutedTarget(
                  target.id(),
                  revision,
                  target.service(),
                  target.address(),
                  target.zone(),
                  target.slots(),
                  false);
          latest.put(next.id(), next);
          oracle.returns(target);
          fixture.apply(new DispatchEvent.TargetChanged(fixture.nowMs(), revision, next));
        }
        default ->
            fixture.apply(new DispatchEvent.StoreSeen(fixture.nowMs(), random.nextBoolean()));
      }
    }

    /** Restores the store from a copy in which no target has left yet. */
    private void restoreStore() {
      long before = revision;
      revision += 1_000_000;
      oracle.restored(fixture.nowMs());
      fixture.apply(
          new DispatchEvent.StoreRestored(
              fixture.nowMs(), Long.toString(before), Long.toString(revision)));
      fixture.apply(
          new DispatchEvent.TargetsListed(
              fixture.nowMs(), revision, DispatchFixture.targets(), "store"));
    }

    private Optional<String> pick() {
      List<String> atTarget = open.stream().filter(oracle::isAtTarget).toList();
      return atTarget.isEmpty()
          ? Optional.empty()
          : Optional.of(atTarget.get(random.nextInt(atTarget.size())));
    }
  }

  /** Records what callers and targets observe. */
  private static final class Oracle {

    private final Map<String, CallState> calls = new HashMap<>();
    private final Map<String, Long> leavingSinceMs = new HashMap<>();
    private final Set<String> announced = new HashSet<>();
    private final List<Backoff> backoffs = new ArrayList<>();

    private static final class Backoff {
      private final String targetId;
      private final long untilMs;
      private int sends;

      private Backoff(String targetId, long untilMs) {
        this.targetId = targetId;
        this.untilMs = untilMs;
      }
    }

    private static final class CallState {
      private boolean repeatable;
      private boolean mayHaveRun;
      private boolean atTarget;
      private boolean ended;
      private int begun;
      private String targetId = "";

      /** The runs that an attempt may have begun; an attempt to continue one begins none. */
      private final Set<Integer> runs = new HashSet<>();

      private final Set<String> runTargets = new HashSet<>();
    }

    private void arrived(String call, boolean repeatable) {
      calls.computeIfAbsent(call, id -> new CallState()).repeatable = repeatable;
    }

    private void failed(String call, AttemptFault fault) {
      CallState seen = calls.get(call);
      seen.atTarget = false;
      if (fault.mayHaveRun()) {
        seen.mayHaveRun = true;
        seen.runs.add(seen.begun);
        seen.runTargets.add(seen.targetId);
      }
    }

    private void delivered(String call) {
      end(call);
    }

    private void leaves(long nowMs, RoutedTarget target) {
      leavingSinceMs.putIfAbsent(target.id(), nowMs);
    }

    private void announced(RoutedTarget target) {
      announced.add(target.id());
    }

    private void backoffRequested(RoutedTarget target, long untilMs) {
      backoffs.add(new Backoff(target.id(), untilMs));
    }

    private void returns(RoutedTarget target) {
      leavingSinceMs.remove(target.id());
      announced.remove(target.id());
    }

    /** A target whose entry was just removed without notice may be back in the restored copy. */
    private void restored(long nowMs) {
      leavingSinceMs
          .entrySet()
          .removeIf(
              left -> !announced.contains(left.getKey()) && nowMs - left.getValue() <= EXPIRY_MS);
    }

    private boolean isEnded(String call) {
      return calls.get(call).ended;
    }

    private boolean isAtTarget(String call) {
      return calls.get(call).atTarget;
    }

    private void check(long nowMs, List<Effect> effects) {
      for (Effect effect : effects) {
        if (effect instanceof DispatchEffect.SendCall send) {
          sent(nowMs, send);
        } else if (effect instanceof DispatchEffect.RefuseCall refusal) {
          refused(refusal);
        } else if (effect instanceof DispatchEffect.CutCall cut) {
          end(cut.callId());
        } else if (effect instanceof DispatchEffect.DeliverHeldAnswer answer) {
          end(answer.callId());
        }
      }
    }

    private void sent(long nowMs, DispatchEffect.SendCall send) {
      backoffs.removeIf(backoff -> backoff.untilMs <= nowMs);
      backoffs.stream()
          .filter(backoff -> backoff.targetId.equals(send.target().id()))
          .forEach(
              backoff -> {
                backoff.sends++;
                assertThat(backoff.sends)
                    .as("sends to %s until %d", backoff.targetId, backoff.untilMs)
                    .isLessThanOrEqualTo(2);
              });
      CallState seen = calls.computeIfAbsent(send.callId(), id -> new CallState());
      assertThat(seen.ended).as("%s is sent after its end", send.callId()).isFalse();
      if (send.continuation().isEmpty()) {
        Long left = leavingSinceMs.get(send.target().id());
        assertThat(left == null || nowMs - left <= EXPIRY_MS)
            .as("%s is sent to %s that has left", send.callId(), send.target().id())
            .isTrue();
        if (!seen.repeatable) {
          assertThat(seen.mayHaveRun).as("%s is run again", send.callId()).isFalse();
        }
        assertThat(seen.runs).as("runs of %s", send.callId()).hasSizeLessThan(2);
        assertThat(seen.runTargets).as("targets of %s", send.callId()).hasSizeLessThan(2);
        seen.begun++;
      }
      seen.targetId = send.target().id();
      seen.atTarget = true;
    }

    private void refused(DispatchEffect.RefuseCall refusal) {
      CallState seen = calls.computeIfAbsent(refusal.callId(), id -> new CallState());
      if (seen.mayHaveRun || seen.atTarget) {
        assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
      }
      end(refusal.callId());
    }

    private void end(String call) {
      CallState seen = calls.computeIfAbsent(call, id -> new CallState());
      assertThat(seen.ended).as("%s ends twice", call).isFalse();
      seen.ended = true;
      seen.atTarget = false;
    }
  }
}
