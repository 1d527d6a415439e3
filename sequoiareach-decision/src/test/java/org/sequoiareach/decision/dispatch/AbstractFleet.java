package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.fuzz.VirtualClock;
import org.sequoiareach.decision.membership.MembershipDelivery;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;

/**
 * Simulates a fleet of dispatch reducers, joined by delayed messages. Each daemon's clock has an
 * offset of its own. Subclasses simulate targets and callers.
 */
abstract class AbstractFleet {

  static final long TICK_MS = 50;
  static final String KEY = "k1";
  private static final int MAX_SEEDS = 3;

  private final VirtualClock clock = new VirtualClock();
  private final SplittableRandom random;
  private final List<Daemon> daemons = new ArrayList<>();
  private final long startMs = clock.nowMs();
  private BiPredicate<Integer, Integer> cut = (from, to) -> false;
  private long maxMessageDelayMs = 5;

  AbstractFleet(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Starts the daemons, which learn of all targets at once. */
  final void start(int size) {
    IntStream.range(0, size).forEach(i -> daemons.add(new Daemon(i)));
    daemons.forEach(Daemon::start);
  }

  /** Returns the targets that the store lists. */
  abstract List<RoutedTarget> listedTargets();

  /** Performs an effect that is not a message about state or membership. */
  abstract void perform(Daemon daemon, Effect effect);

  /** Returns the routing sheet that the store holds. */
  RoutingSheet sheet() {
    return DispatchFixture.sheet(1, KEY);
  }

  /** Returns the time within which a change in the store has to be in force. */
  long changeBoundMs() {
    return 2_000;
  }

  /** Observes that a daemon tells its state to another one. */
  void onStateTold(Daemon daemon, DispatchEffect.TellPeer tell) {}

  final VirtualClock clock() {
    return clock;
  }

  final SplittableRandom random() {
    return random;
  }

  final List<Daemon> daemons() {
    return daemons;
  }

  /** Returns the time since the start, in milliseconds. */
  final long elapsedMs() {
    return clock.nowMs() - startMs;
  }

  final void run(long durationMs) {
    clock.runUntil(clock.nowMs() + durationMs);
  }

  final void at(long elapsedMs, Runnable action) {
    clock.at(startMs + elapsedMs, action);
  }

  /** Loses messages between daemons. */
  final void cut(BiPredicate<Integer, Integer> lost) {
    cut = lost;
  }

  final void setMaxMessageDelay(long delayMs) {
    maxMessageDelayMs = delayMs;
  }

  /** Stops a daemon without notice. */
  final void kill(int daemon) {
    daemons.get(daemon).alive = false;
  }

  /** Stops a daemon without notice and starts it again after a while. */
  final void restart(int daemon, long downMs) {
    kill(daemon);
    clock.after(
        downMs,
        () -> {
          daemons.set(daemon, new Daemon(daemon));
          daemons.get(daemon).start();
        });
  }

  /** Freezes a daemon: its events are applied when it wakes. */
  final void freeze(int daemon, long durationMs) {
    daemons.get(daemon).frozenUntilMs = clock.nowMs() + durationMs;
  }

  final long messageDelayMs() {
    return random.nextLong(1, maxMessageDelayMs + 1);
  }

  static int numberOf(String daemonId) {
    return Integer.parseInt(daemonId.substring(daemonId.lastIndexOf(':') + 1));
  }

  private static String addressOf(int daemon) {
    return "10.0.0.1:" + daemon;
  }

  /** One daemon of the fleet. */
  final class Daemon {

    private final int number;
    private final String id;
    private final String zone;
    private final long clockOffsetMs = random.nextLong(100_000);
    private final DispatchReducer reducer;
    private boolean alive = true;
    private long frozenUntilMs;

    private Daemon(int number) {
      this.number = number;
      this.id = addressOf(number);
      this.zone = "z" + number % 3;
      this.reducer =
          new DispatchReducer(
              new DispatchSettings(zone, number, 0.2, 10_000, 52, 3_500, changeBoundMs()),
              new MembershipSettings(id, id, zone, clock.nowMs(), number));
    }

    private void start() {
      List<VmEntry> seeds =
          IntStream.range(0, Math.min(MAX_SEEDS, daemons.size()))
              .filter(i -> i != number)
              .mapToObj(AbstractFleet::addressOf)
              .map(seed -> new VmEntry(seed, VmKind.DAEMON, seed, "z0", false, List.of()))
              .toList();
      apply(nowMs -> new PlatformEvent.VmsListed(nowMs, nowMs, seeds));
      apply(nowMs -> new DispatchEvent.SheetLearned(nowMs, sheet(), "store"));
      apply(nowMs -> new DispatchEvent.TargetsListed(nowMs, 10, listedTargets(), "store"));
      clock.after(random.nextLong(TICK_MS), this::tick);
    }

    private void tick() {
      if (alive) {
        apply(TimeEvent.Ticked::new);
        clock.after(TICK_MS, this::tick);
      }
    }

    String id() {
      return id;
    }

    int number() {
      return number;
    }

    boolean isAlive() {
      return alive;
    }

    boolean isFrozen() {
      return clock.nowMs() < frozenUntilMs;
    }

    String zone() {
      return zone;
    }

    /** Returns the time on the daemon's clock, in milliseconds. */
    long nowMs() {
      return clock.nowMs() + clockOffsetMs;
    }

    DispatchReducer reducer() {
      return reducer;
    }

    void apply(LongFunction<Event> event) {
      if (!alive) {
        return;
      }
      if (clock.nowMs() < frozenUntilMs) {
        clock.at(frozenUntilMs, () -> apply(event));
        return;
      }
      reducer.apply(event.apply(nowMs())).forEach(this::perform);
    }

    private void perform(Effect effect) {
      if (effect instanceof DispatchEffect.TellPeer tell) {
        onStateTold(this, tell);
        deliver(
            tell.daemonId(),
            at ->
                new DispatchEvent.PeerStateTold(
                    at,
                    id,
                    tell.sheetRevision(),
                    tell.targetsRevision(),
                    tell.uses(),
                    tell.leaving(),
                    tell.outcomes(),
                    tell.sheetVersion(),
                    tell.sum(),
                    tell.daemons(),
                    tell.fleet()));
        return;
      }
      AbstractFleet.this.perform(this, effect);
      MembershipDelivery.deliver(effect, id, this::deliver);
    }

    /** Delivers an event to another daemon, unless the message is lost. */
    void deliver(String to, LongFunction<Event> event) {
      int receiver = numberOf(to);
      if (!cut.test(number, receiver)) {
        clock.after(messageDelayMs(), () -> daemons.get(receiver).apply(event));
      }
    }
  }
}
