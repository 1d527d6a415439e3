package org.sequoiareach.decision.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.model.route.RoutedTarget;

class TargetTableTest {

  private static final long START_MS = 10_000;

  private final TargetTable table = new TargetTable();

  @Test
  void reportsTargetThatIsSeenDraining() {
    table.list(START_MS, 5, targets(4));

    TargetTable.Change change = table.put(START_MS + 100, 6, target(1).asLeaving());

    assertThat(change.leaving()).extracting(RoutedTarget::id).containsExactly("t1");
    assertThat(placeable(START_MS + 100)).containsExactly("t0", "t2", "t3");
  }

  @Test
  void reportsLeavingTargetOnce() {
    table.list(START_MS, 5, targets(4));
    table.put(START_MS + 100, 6, target(1).asLeaving());

    assertThat(table.put(START_MS + 200, 7, target(1).asLeaving()).leaving()).isEmpty();
    assertThat(table.remove(START_MS + 300, 8, "t1").leaving()).isEmpty();
  }

  @Test
  void keepsTargetLeavingWhenAnOlderEntryReturns() {
    table.list(START_MS, 5, targets(4));
    table.put(START_MS + 100, 6, target(1).asLeaving());

    table.put(START_MS + 200, 7, target(1));

    assertThat(placeable(START_MS + 200)).doesNotContain("t1");
  }

  @Test
  void takesNewIncarnationOfTargetThatLeft() {
    table.list(START_MS, 5, targets(4));
    table.put(START_MS + 100, 6, target(1).asLeaving());

    TargetTable.Change change =
        table.put(START_MS + 200, 7, new RoutedTarget("t1", 2, "s", "10.0.0.1:1", "z", 4, false));

    assertThat(change.replaced()).extracting(RoutedTarget::incarnation).containsExactly(1L);
    assertThat(placeable(START_MS + 200)).contains("t1");
  }

  @Test
  void reportsSingleRemovedTargetAtOnce() {
    table.list(START_MS, 5, targets(4));

    assertThat(table.remove(START_MS, 6, "t2").leaving())
        .extracting(RoutedTarget::id)
        .containsExactly("t2");
    assertThat(placeable(START_MS)).containsExactly("t0", "t1", "t3");
  }

  @Test
  void keepsTargetsWhoseEntriesLapseAroundAnOutage() {
    table.list(START_MS, 5, targets(4));
    table.storeSeen(START_MS + 100, false);
    table.storeSeen(START_MS + 4_000, true);

    table.list(START_MS + 4_010, 9, List.of());

    assertThat(placeable(START_MS + 5_800)).hasSize(4);
    assertThat(placeable(START_MS + 4_010 + TargetTable.RETURN_MS)).isEmpty();
  }

  @Test
  void keepsTargetsThatVanishTogetherWithoutNoticedOutage() {
    table.list(START_MS, 5, targets(4));
    for (int i = 0; i < 4; i++) {
      table.remove(START_MS + i, 6 + i, "t" + i);
    }

    assertThat(placeable(START_MS + 10)).hasSize(4);
    assertThat(table.tick(START_MS + 3_000, id -> false)).hasSize(3);
  }

  @ParameterizedTest
  @CsvSource({"1500, 0", "1900, 1"})
  void takesLapsedTargetForGoneAfterTheTimeToReturn(long afterMs, int gone) {
    table.list(START_MS, 5, targets(2));
    table.storeSeen(START_MS, false);
    table.storeSeen(START_MS, true);
    table.remove(START_MS, 6, "t0");

    assertThat(table.tick(START_MS + afterMs, id -> true)).hasSize(gone);
  }

  @Test
  void keepsTargetThatReturnsInTime() {
    table.list(START_MS, 5, targets(2));
    table.storeSeen(START_MS, false);
    table.storeSeen(START_MS, true);
    table.remove(START_MS, 6, "t0");
    table.put(START_MS + 1_000, 7, target(0));

    assertThat(table.tick(START_MS + 5_000, id -> false)).isEmpty();
    assertThat(placeable(START_MS + 5_000)).containsExactly("t0", "t1");
  }

  @Test
  void ignoresListOlderThanItsOwn() {
    table.list(START_MS, 5, targets(2));

    table.list(START_MS, 4, List.of());

    assertThat(table.listed()).hasSize(2);
  }

  private List<String> placeable(long nowMs) {
    return table.placeable("s", nowMs).stream().map(RoutedTarget::id).toList();
  }

  private static List<RoutedTarget> targets(int count) {
    return IntStream.range(0, count).mapToObj(TargetTableTest::target).toList();
  }

  private static RoutedTarget target(int number) {
    return new RoutedTarget("t" + number, 1, "s", "10.0.0.1:" + (100 + number), "z", 4, false);
  }
}
