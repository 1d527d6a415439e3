package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.route.EngineSpeed;
import org.sequoiareach.model.route.FleetState;
import org.sequoiareach.model.route.RoutedTarget;

/** Tests how observed speeds reach the placement and the migration of runs. */
class SpeedHandlerTest {

  private final DispatchFixture fixture = DispatchFixture.ready();

  /** Guards against losing the own observations while all peers are silent. */
  @Test
  void avoidsEngineThatThisDaemonObservedToBeSlow() {
    RoutedTarget slow = observeSlowRun();
    fixture.tick(600);

    for (int i = 0; i < 6; i++) {
      String run = fixture.generate(3_000, 1_500);
      assertThat(fixture.lastSend(run).target()).isNotEqualTo(slow);
      // A prompt that is not read yet makes further runs wait.
      fixture.started(run);
    }
    assertThat(lastRouteReason()).contains("slowness=", "gap=");
  }

  /** Guards against avoiding a restarted engine because of its earlier incarnation. */
  @Test
  void forgetsSlownessOfRestartedEngine() {
    RoutedTarget slow = observeSlowRun();
    fixture.tick(600);
    RoutedTarget restarted =
        new RoutedTarget(
            slow.id(), 2, slow.service(), slow.address(), slow.zone(), slow.slots(), false);
    fixture.apply(new DispatchEvent.TargetChanged(fixture.nowMs(), 12, restarted));

    List<RoutedTarget> taken =
        IntStream.range(0, 4)
            .mapToObj(i -> fixture.lastSend(fixture.generate(3_000, 1_500)).target())
            .toList();
    assertThat(taken).contains(restarted);
  }

  /** Guards against a daemon whose absurd reports stop the others from placing runs. */
  @Test
  void placesRunsDespiteAbsurdReports() {
    EngineSpeed absurd =
        new EngineSpeed(1, Double.MAX_VALUE, Double.MAX_VALUE, 1, Double.MAX_VALUE);
    tellSpeeds(
        Map.of("engines0", absurd, "engines1", absurd, "engines2", absurd, "engines3", absurd));
    fixture.tick(600);

    for (int i = 0; i < 12; i++) {
      String run = fixture.generate(3_000, 1_500);
      assertThat(fixture.sends(run)).hasSize(1);
      fixture.started(run);
    }
  }

  /** Guards against moving a long run from a leaving engine to a slow one. */
  @Test
  void movesLongRunToEngineThatIsNotSlow() {
    String run = fixture.generate(3_000, 1_500);
    fixture.started(run);
    RoutedTarget source = fixture.lastSend(run).target();
    RoutedTarget usual = usualDestination(source);
    tellSpeeds(
        Map.of(
            usual.id(),
            new EngineSpeed(1, 20, 60, 20, 60),
            source.id(),
            new EngineSpeed(1, 20, 20, 20, 20)));
    fixture.tick(600);
    fixture.markLeaving(run);

    assertThat(fixture.lastCopy(run).destinationAddress()).isNotEqualTo(usual.address());
  }

  /** Returns the destination of a run that is chosen without observations. */
  private static RoutedTarget usualDestination(RoutedTarget source) {
    DispatchFixture other = DispatchFixture.ready();
    String run = other.generate(3_000, 1_500);
    other.started(run);
    assertThat(other.lastSend(run).target()).isEqualTo(source);
    other.tick(600);
    other.markLeaving(run);
    String address = other.lastCopy(run).destinationAddress();
    return DispatchFixture.targets().stream()
        .filter(target -> target.address().equals(address))
        .findFirst()
        .orElseThrow();
  }

  /** Observes a run whose events are three times as far apart as expected. */
  private RoutedTarget observeSlowRun() {
    String run = fixture.generate(3_000, 1_500);
    fixture.advance(1_400);
    fixture.started(run);
    for (int i = 0; i < 5; i++) {
      fixture.tick(1_000);
      fixture.apply(new StreamEvent.StreamProgressed(fixture.nowMs(), run, 1, 12, 1_000));
    }
    RoutedTarget slow = fixture.lastSend(run).target();
    fixture.delivered(run);
    return slow;
  }

  private void tellSpeeds(Map<String, EngineSpeed> speeds) {
    fixture.apply(
        new DispatchEvent.PeerStateTold(
            fixture.nowMs(),
            "10.0.0.2:1",
            1,
            10,
            Map.of(),
            List.of(),
            Map.of(),
            1,
            false,
            2,
            new FleetState(Optional.empty(), Map.of(), speeds)));
  }

  private String lastRouteReason() {
    List<Effect.LogDecision> routes =
        fixture.all(Effect.LogDecision.class).stream()
            .filter(log -> log.decision().equals("route"))
            .toList();
    return routes.get(routes.size() - 1).reason();
  }
}
