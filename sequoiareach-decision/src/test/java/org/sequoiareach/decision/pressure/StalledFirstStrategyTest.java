package org.sequoiareach.decision.pressure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sequoiareach.decision.pressure.Holding.Stage;

/** Tests whom a process refuses that holds as much as it may. */
class StalledFirstStrategyTest {

  private static final long NOW_MS = 100_000;
  private static final long PAUSE_MS = 2_000;
  private static final int SMALL_BYTES = 2_000;
  private static final int LARGE_BYTES = 600_000;

  private final PressureStrategy strategy = new StalledFirstStrategy();

  /** Guards against clients that stop short and stay while ordinary requests are refused. */
  @Test
  void refusesClientThatHoldsMostAndProgressesLeast() {
    List<Holding> holdings =
        List.of(
            holding(Stage.SENDING, SMALL_BYTES, 2 * PAUSE_MS),
            holding(Stage.SENDING, LARGE_BYTES, PAUSE_MS),
            holding(Stage.SENDING, LARGE_BYTES, 2 * PAUSE_MS),
            holding(Stage.SENDING, LARGE_BYTES, 0),
            holding(Stage.RUNNING, 2 * LARGE_BYTES, 2 * PAUSE_MS));

    assertThat(strategy.chooseForMemory(holdings, SMALL_BYTES, NOW_MS)).hasValue(2);
  }

  /** Guards against a large request that displaces small ones. */
  @Test
  void refusesRequesterThatAsksForMoreThanOthersHold() {
    List<Holding> holdings = List.of(holding(Stage.SENDING, SMALL_BYTES, PAUSE_MS));

    assertThat(strategy.chooseForMemory(holdings, LARGE_BYTES, NOW_MS)).isEmpty();
  }

  /** Guards against unused connections that leave no descriptor for an ordinary caller. */
  @Test
  void closesConnectionUnusedForLongestTime() {
    List<Holding> holdings =
        List.of(
            holding(Stage.RUNNING, SMALL_BYTES, 9 * PAUSE_MS),
            holding(Stage.IDLE, 0, PAUSE_MS),
            holding(Stage.IDLE, 0, 2 * PAUSE_MS),
            holding(Stage.SENDING, SMALL_BYTES, 2 * PAUSE_MS));

    assertThat(strategy.chooseForConnection(holdings, NOW_MS)).hasValue(2);
  }

  /** Guards against closing requests in progress, which may have run, for new connections. */
  @Property
  void neverChoosesRunningRequest(
      @ForAll @Size(max = 20) List<@IntRange(min = 0, max = 1_000_000) Integer> sizes,
      @ForAll @IntRange(min = 0, max = 1_000_000) int requestedBytes) {
    List<Holding> holdings =
        sizes.stream()
            .map(size -> holding(Stage.values()[size % Stage.values().length], size, size))
            .toList();

    for (OptionalInt chosen :
        List.of(
            strategy.chooseForMemory(holdings, requestedBytes, NOW_MS),
            strategy.chooseForConnection(holdings, NOW_MS))) {
      chosen.ifPresent(
          index -> assertThat(holdings.get(index).stage()).isNotEqualTo(Stage.RUNNING));
    }
  }

  private static Holding holding(Stage stage, long bytes, long pauseMs) {
    return new Holding(stage, bytes, NOW_MS - pauseMs);
  }
}
