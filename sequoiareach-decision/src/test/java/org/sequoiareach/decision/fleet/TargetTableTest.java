package org.sequoiareach.decision.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.route.RoutedTarget;

class TargetTableTest {

  private static final long START_MS = 10_000;

  private final TargetTable table = new TargetTable();

  @Test
  void reportsLeavingTarget() {
    table.replaceAll(START_MS, 5, targets(4));

    TargetTable.Change change = table.put(START_MS + 100, 6, target(1).asLeaving());

    assertThat(change.leaving()).extracting(RoutedTarget::id).containsExactly("t1");
    assertThat(available(START_MS + 100)).containsExactly("t0", "t2", "t3");
  }

  @Test
  void reportsLeavingTargetOnlyOnce() {
    table.replaceAll(START_MS, 5, targets(4));
    table.put(START_MS + 100, 6, target(1).asLeaving());

    assertThat(table.put(START_MS + 200, 7, target(1).asLeaving()).leaving()).isEmpty();
    assertThat(table.remove(START_MS + 300, 8, "t1").leaving()).isEmpty();
  }

  @Test
  void keepsTargetLeavingWhenOutdatedEntryReturns() {
    table.replaceAll(START_MS, 5, targets(4));
    table.put(START_MS + 100, 6, target(1).asLeaving());

    table.put(START_MS + 200, 7, target(1));

    assertThat(available(START_MS + 200)).doesNotContain("t1");
  }

  @Test
  void replacesIncarnationOfLeavingTarget() {
    table.replaceAll(START_MS, 5, targets(4));
    table.put(START_MS + 100, 6, target(1).asLeaving());

    TargetTable.Change change =
        table.put(START_MS + 200, 7, new RoutedTarget("t1", 2, "s", "10.0.0.1:1", "z", 4, false));

    assertThat(change.replaced()).extracting(RoutedTarget::incarnation).containsExactly(1L);
    assertThat(available(START_MS + 200)).contains("t1");
  }

  @Test
  void reportsSingleRemovedTargetImmediately() {
    table.replaceAll(START_MS, 5, targets(4));

    assertThat(table.remove(START_MS, 6, "t2").leaving())
        .extracting(RoutedTarget::id)
        .containsExactly("t2");
    assertThat(available(START_MS)).containsExactly("t0", "t1", "t3");
  }

  /** Guards against work for targets that left before the copy of a restored store was made. */
  @ParameterizedTest
  @ValueSource(longs = {1_000, 10_100, 30_000, 59_000})
  void keepsGoneTargetUnavailableWhenStoreIsRestoredFromOlderCopy(long copyAgeMs) {
    table.replaceAll(START_MS, 5, targets(4));
    table.remove(START_MS, 6, "t2");
    long nowMs = START_MS + copyAgeMs;
    for (long atMs = START_MS; atMs < nowMs; atMs += 50) {
      table.expire(atMs, id -> false);
    }
    table.onStoreRestored(nowMs);

    table.replaceAll(nowMs, 6, targets(4));

    assertThat(available(nowMs)).containsExactly("t0", "t1", "t3");
  }

  /** Guards against expiries that are taken for removals after many targets have left. */
  @Test
  void treatsRemovalOfHalfOfListedTargetsAsExpiryWhateverHasLeftBefore() {
    table.replaceAll(START_MS, 5, targets(8));
    for (int i = 4; i < 8; i++) {
      table.remove(START_MS + 1_000 * i, i, "t" + i);
    }

    table.remove(START_MS + 20_000, 9, "t0");
    table.remove(START_MS + 20_100, 10, "t1");

    assertThat(available(START_MS + 20_200)).containsExactly("t0", "t1", "t2", "t3");
  }

  @Test
  void keepsTargetsWhoseEntriesExpireDuringOutage() {
    table.replaceAll(START_MS, 5, targets(4));
    table.updateStoreState(START_MS + 100, false);
    table.updateStoreState(START_MS + 4_000, true);

    table.replaceAll(START_MS + 4_010, 9, List.of());

    assertThat(available(START_MS + 5_800)).hasSize(4);
    assertThat(available(START_MS + 4_010 + TargetTable.RECOVERY_MS)).isEmpty();
  }

  @Test
  void keepsTargetsRemovedTogetherWithoutNoticedOutage() {
    table.replaceAll(START_MS, 5, targets(4));
    for (int i = 0; i < 4; i++) {
      table.remove(START_MS + i, 6 + i, "t" + i);
    }

    assertThat(available(START_MS + 10)).hasSize(4);
    assertThat(table.expire(START_MS + 3_000, id -> false)).hasSize(3);
  }

  @ParameterizedTest
  @CsvSource({"1500, 0", "1900, 1"})
  void reportsExpiredTargetAfterRecoveryTime(long afterMs, int gone) {
    table.replaceAll(START_MS, 5, targets(2));
    table.updateStoreState(START_MS, false);
    table.updateStoreState(START_MS, true);
    table.remove(START_MS, 6, "t0");

    assertThat(table.expire(START_MS + afterMs, id -> true)).hasSize(gone);
  }

  @Test
  void keepsTargetRestoredWithinRecoveryTime() {
    table.replaceAll(START_MS, 5, targets(2));
    table.updateStoreState(START_MS, false);
    table.updateStoreState(START_MS, true);
    table.remove(START_MS, 6, "t0");
    table.put(START_MS + 1_000, 7, target(0));

    assertThat(table.expire(START_MS + 5_000, id -> false)).isEmpty();
    assertThat(available(START_MS + 5_000)).containsExactly("t0", "t1");
  }

  @Test
  void ignoresOlderList() {
    table.replaceAll(START_MS, 5, targets(2));

    table.replaceAll(START_MS, 4, List.of());

    assertThat(table.listed()).hasSize(2);
  }

  private List<String> available(long nowMs) {
    return table.findAvailable("s", nowMs).stream().map(RoutedTarget::id).toList();
  }

  private static List<RoutedTarget> targets(int count) {
    return IntStream.range(0, count).mapToObj(TargetTableTest::target).toList();
  }

  private static RoutedTarget target(int number) {
    return new RoutedTarget("t" + number, 1, "s", "10.0.0.1:" + (100 + number), "z", 4, false);
  }
}
