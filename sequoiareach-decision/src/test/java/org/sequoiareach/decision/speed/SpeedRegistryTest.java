package org.sequoiareach.decision.speed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.route.EngineSpeed;
import org.sequoiareach.model.route.RoutedTarget;

/** Tests what is learned of the speed of engines. */
class SpeedRegistryTest {

  private static final int ENGINES = 8;
  private static final long SECOND_MS = 1_000;

  private final SpeedRegistry registry = new SpeedRegistry();
  private final Map<String, RoutedTarget> listed = new HashMap<>();
  private final SplittableRandom random = new SplittableRandom(3);
  private long nowMs = 10_000;

  SpeedRegistryTest() {
    IntStream.range(0, ENGINES).forEach(i -> list(i, 1));
  }

  /** Guards against taking a busy fast engine for a slow one and an idle slow one for fast. */
  @ParameterizedTest
  @ValueSource(doubles = {0.4, 1, 3})
  void tellsSlowEnginesFromBusyOnes(double timeScale) {
    for (int i = 0; i < 30; i++) {
      for (RoutedTarget engine : listed.values()) {
        boolean slow = isSlow(engine);
        EngineLoad load = slow ? new EngineLoad(2, 0.1) : new EngineLoad(12, random.nextDouble());
        double stepMs = (7 + 0.12 * load.runs() + 8 * load.prefillShare()) * timeScale;
        decode(engine, load, slow ? stepMs / 0.55 : stepMs / 1.2);
      }
      nowMs += SECOND_MS;
      estimate(Map.of());
    }

    assertThat(listed.values())
        .allSatisfy(engine -> assertThat(slowness(engine).isSlow()).isEqualTo(isSlow(engine)));
    double expectedMs = registry.stepTimes("engines").stepMs(new EngineLoad(10, 1));
    assertThat(expectedMs * slowness(listed.get("e0")).decode())
        .isCloseTo((7 + 1.2 + 8) * timeScale / 0.55, Offset.offset(8 * timeScale));
  }

  /** Guards against avoiding equal engines because of noise. */
  @Test
  void doesNotTakeNoiseForSlowness() {
    for (int i = 0; i < 100; i++) {
      for (RoutedTarget engine : listed.values()) {
        decode(engine, new EngineLoad(5, 0.5), 14 * random.nextDouble(0.85, 1.15));
      }
      nowMs += SECOND_MS;
      estimate(Map.of());
      assertThat(listed.values()).noneMatch(engine -> slowness(engine).isSlow());
    }
  }

  /** Guards against forgetting that an engine is slow while it gets prompts of short runs only. */
  @Test
  void knowsSlowEngineFromPrefillsAlone() {
    for (int i = 0; i < 20; i++) {
      for (RoutedTarget engine : listed.values()) {
        long durationMs = isSlow(engine) ? 571 : 262;
        registry.recordPrefill(nowMs, engine, 2_200, durationMs);
      }
      nowMs += SECOND_MS;
      estimate(Map.of());
    }

    assertThat(listed.values())
        .allSatisfy(engine -> assertThat(slowness(engine).isSlow()).isEqualTo(isSlow(engine)));
  }

  /** Guards against avoiding an engine for good because of one slow spell. */
  @Test
  void forgetsSlowSpellWithAge() {
    RoutedTarget engine = listed.get("e1");
    decode(engine, new EngineLoad(1, 0), 40);
    estimate(Map.of());
    assertThat(slowness(engine).isSlow()).isTrue();

    nowMs += 20 * SECOND_MS;
    estimate(Map.of());
    assertThat(registry.find(engine).filter(EngineSlowness::isSlow)).isEmpty();

    nowMs += 60 * SECOND_MS;
    estimate(Map.of());
    assertThat(registry.local(nowMs)).isEmpty();
  }

  /** Guards against judging a restarted engine by its earlier incarnation. */
  @Test
  void dropsObservationsOfEarlierIncarnation() {
    RoutedTarget before = listed.get("e1");
    IntStream.range(0, 10).forEach(i -> decode(before, new EngineLoad(1, 0), 40));
    estimate(Map.of("e1", new EngineSpeed(1, 9, 30, 9, 30)));
    assertThat(slowness(before).isSlow()).isTrue();

    RoutedTarget after = list(1, 2);
    assertThat(registry.find(after).filter(EngineSlowness::isSlow)).isEmpty();
    estimate(Map.of("e1", new EngineSpeed(1, 9, 30, 9, 30)));
    assertThat(registry.find(after).filter(EngineSlowness::isSlow)).isEmpty();

    decode(after, new EngineLoad(1, 0), 7);
    decode(before, new EngineLoad(1, 0), 40);
    estimate(Map.of());
    assertThat(slowness(after).isSlow()).isFalse();
  }

  /** Guards against observations of another daemon that are wrong or overflow. */
  @Property
  void boundsFalseReports(
      @ForAll @LongRange(min = 0, max = 3) long incarnation,
      @ForAll @DoubleRange(min = 0, max = Double.MAX_VALUE) double weight,
      @ForAll @DoubleRange(min = 0, max = Double.MAX_VALUE) double ratio) {
    SpeedRegistry bounded = new SpeedRegistry();
    RoutedTarget engine = listed.get("e1");
    for (int i = 0; i < 12; i++) {
      bounded.recordDecode(nowMs, engine, new EngineLoad(1, 0), 100, 700);
    }
    EngineSpeed report =
        SpeedBounds.bound(new EngineSpeed(incarnation, weight, ratio, weight, ratio));
    EngineSpeed sum = report.plus(report);
    bounded.estimate(bounded.local(nowMs), Map.of("e1", sum), id -> Optional.of(engine));

    assertThat(bounded.find(engine).orElseThrow().decode()).isBetween(0.1, 5.0);
    assertThat(bounded.find(engine).orElseThrow().prefill()).isBetween(0.1, 5.0);
    assertThat(bounded.find(engine).orElseThrow().relative()).isBetween(0.1, 8.0);
  }

  /** Guards against a pause of this daemon that makes an engine seem arbitrarily slow. */
  @Test
  void boundsOwnObservations() {
    for (RoutedTarget engine : listed.values()) {
      registry.recordDecode(nowMs, engine, new EngineLoad(1, 0), 4, 3_600_000);
      registry.recordPrefill(nowMs, engine, 1, 3_600_000);
      registry.recordDecode(nowMs, engine, new EngineLoad(1, 0), 0, 0);
      registry.recordPrefill(nowMs, engine, 0, 100);
    }
    estimate(Map.of());

    assertThat(listed.values())
        .allSatisfy(engine -> assertThat(slowness(engine).decode()).isBetween(0.2, 5.0));
    assertThat(registry.stepTimes("engines").stepMs(new EngineLoad(1, 0))).isLessThan(100);
  }

  private RoutedTarget list(int number, long incarnation) {
    String id = "e" + number;
    RoutedTarget engine =
        new RoutedTarget(id, incarnation, "engines", "10.0.0." + number + ":80", "z0", 24, false);
    listed.put(id, engine);
    return engine;
  }

  private static boolean isSlow(RoutedTarget engine) {
    return List.of("e0", "e4").contains(engine.id());
  }

  private void decode(RoutedTarget engine, EngineLoad load, double stepMs) {
    registry.recordDecode(nowMs, engine, load, Math.round(SECOND_MS / stepMs), SECOND_MS);
  }

  private void estimate(Map<String, EngineSpeed> others) {
    registry.estimate(registry.local(nowMs), others, id -> Optional.ofNullable(listed.get(id)));
  }

  private EngineSlowness slowness(RoutedTarget engine) {
    return registry.find(engine).orElseThrow();
  }
}
