package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Plays a large fleet whose daemons tell each other their use of the engines through a relay in
 * each zone, and checks what the daemons know and what it costs.
 */
class ZoneRelaysTest {

  private static final long SETTLED_MS = 19_000;
  private static final long PERIOD_MS = 1_000;

  @ParameterizedTest
  @CsvSource({"40", "95"})
  void eachDaemonKnowsUseByAllOthersForFewMessages(int size) {
    Fleet fleet = new Fleet(size);
    fleet.run(SETTLED_MS);
    fleet.messages = 0;
    fleet.run(PERIOD_MS);
    final double messagesPerDaemon = (double) fleet.messages / size;
    fleet.generate(7);
    fleet.run(PERIOD_MS);
    final String engine = fleet.engineOf.get(7);

    assertThat(fleet.unawareOf(engine, daemon -> true)).isEmpty();
    assertThat(messagesPerDaemon).as("state messages of a daemon in a second").isLessThan(12);
  }

  @ParameterizedTest
  @CsvSource({"false", "true"})
  void replacesRelayThatDiesOrFreezes(boolean freeze) {
    Fleet fleet = new Fleet(40);
    fleet.run(SETTLED_MS);
    List<Integer> relays = fleet.relays();
    assertThat(relays).hasSize(3);
    relays.forEach(
        relay -> {
          if (freeze) {
            fleet.freeze(relay, 6_000);
          } else {
            fleet.kill(relay);
          }
        });
    fleet.run(3_000);

    int user = IntStream.range(0, 40).filter(i -> !relays.contains(i)).findFirst().orElseThrow();
    fleet.generate(user);
    fleet.run(PERIOD_MS);
    String zone = fleet.daemons().get(user).zone();
    assertThat(
            fleet.unawareOf(
                fleet.engineOf.get(user),
                daemon -> daemon.zone().equals(zone) && !relays.contains(daemon.number())))
        .isEmpty();
  }

  /** A fleet with two engines in use by hand. */
  private static final class Fleet extends AbstractFleet {

    private final Map<Integer, String> engineOf = new HashMap<>();
    private final Map<Integer, Integer> sums = new HashMap<>();
    private final List<RoutedTarget> engines = new ArrayList<>();
    private int messages;
    private int sequence;

    private Fleet(int size) {
      super(1);
      IntStream.range(0, 2).forEach(i -> engines.add(DispatchFixture.target("engines", 3 * i, 24)));
      start(size);
    }

    @Override
    List<RoutedTarget> listedTargets() {
      return engines;
    }

    @Override
    void perform(Daemon daemon, Effect effect) {
      if (effect instanceof DispatchEffect.SendCall send) {
        engineOf.put(daemon.number(), send.target().id());
      }
    }

    @Override
    void onStateTold(Daemon daemon, DispatchEffect.TellPeer tell) {
      messages++;
      if (tell.sum()) {
        sums.put(daemon.number(), sums.getOrDefault(daemon.number(), 0) + 1);
      }
    }

    /** Returns the daemons that told sums within the last period. */
    private List<Integer> relays() {
      sums.clear();
      run(PERIOD_MS);
      return List.copyOf(sums.keySet());
    }

    /** Lets a daemon place a generation with a long prompt, which stays in progress. */
    private void generate(int daemon) {
      sequence++;
      daemons().get(daemon).apply(at -> DispatchFixture.generation(at, "c" + sequence, KEY));
    }

    /** Returns the daemons that place a generation on an engine which is in use. */
    private List<Integer> unawareOf(String engine, Predicate<Daemon> included) {
      return daemons().stream()
          .filter(included)
          .map(Daemon::number)
          .filter(daemon -> placeElsewhere(daemon).equals(engine))
          .toList();
    }

    /** Lets a daemon place a generation, and returns the engine that it chooses. */
    private String placeElsewhere(int daemon) {
      engineOf.remove(daemon);
      generate(daemon);
      return engineOf.get(daemon);
    }
  }
}
