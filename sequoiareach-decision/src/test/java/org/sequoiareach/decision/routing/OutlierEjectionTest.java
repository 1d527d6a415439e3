package org.sequoiareach.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.placement.LoadHint;

class OutlierEjectionTest {

  private static final EjectionSettings SETTINGS =
      new EjectionSettings(3, 2.0, 3_000, 4_000, 60_000, 0.5);

  private final OutlierEjection ejection = new OutlierEjection(SETTINGS);

  @Test
  void consecutiveFailuresEjectForIncreasingDurations() {
    assertThat(ejection.recordFailure(0, "a", 1)).isFalse();
    ejection.recordSuccess("a");
    assertThat(ejection.recordFailure(0, "a", 1)).isFalse();
    assertThat(ejection.recordFailure(0, "a", 1)).isFalse();
    assertThat(ejection.recordFailure(0, "a", 1)).isTrue();
    assertThat(ejection.isEjected(1_999, "a")).isTrue();
    assertThat(ejection.isEjected(4_001, "a")).isFalse();

    assertThat(ejection.recordFailure(5_000, "a", 1))
        .as("one more failure after its return")
        .isTrue();
    assertThat(ejection.isEjected(5_000 + 3_999, "a")).isTrue();
    assertThat(ejection.isEjected(5_000 + 8_001, "a")).isFalse();
  }

  @Test
  void successesUndoDoublings() {
    for (int i = 0; i < 4; i++) {
      ejection.recordFailure(i * 100_000L, "a", 1);
      ejection.recordFailure(i * 100_000L, "a", 1);
      ejection.recordFailure(i * 100_000L, "a", 1);
    }
    for (int i = 0; i < 200; i++) {
      ejection.recordSuccess("a");
    }
    for (int i = 0; i < 3; i++) {
      ejection.recordFailure(1_000_000, "a", 1);
    }

    assertThat(ejection.isEjected(1_000_000 + 4_001, "a")).isFalse();
  }

  @ParameterizedTest
  @CsvSource({
    "20, 20, 45, 0, c", // more than twice the median
    "20, 20, 39, 0, ''",
    "20, 20, 45, 9000, ''", // the hint is too old
    "20, 0, 45, 0, c", // one sibling suffices for the median
    "0, 0, 45, 0, ''" // no sibling to compare with
  })
  void ejectsTargetsSlowerThanTheirSiblings(
      double gapA, double gapB, double gapC, long ageMs, String expected) {
    List<TargetView> siblings =
        List.of(view("a", gapA, 0), view("b", gapB, 0), view("c", gapC, ageMs));

    List<String> atOnce = ejection.ejectSlowTargets(0, siblings, 1);
    List<String> later = ejection.ejectSlowTargets(3_000, siblings, 1);

    assertThat(atOnce).isEmpty();
    assertThat(String.join(",", later)).isEqualTo(expected);
  }

  @Property(tries = 200, seed = "20261203")
  void neverExcludesMoreThanTheMaximumFraction(
      @ForAll long seed, @ForAll @IntRange(max = 12) int size) {
    OutlierEjection randomised = new OutlierEjection(SETTINGS);
    Random random = new Random(seed);
    List<TargetView> candidates = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      candidates.add(view("t" + i, 5 + random.nextInt(200), 0));
    }
    long nowMs = 0;
    for (int i = 0; i < 200; i++) {
      nowMs += random.nextInt(500);
      randomised.recordFailure(nowMs, "t" + random.nextInt(12), random.nextLong());
      randomised.ejectSlowTargets(nowMs, candidates, random.nextLong());
      List<TargetView> remaining = randomised.filter(nowMs, candidates);
      assertThat(remaining).hasSizeGreaterThanOrEqualTo(size - size / 2);
      assertThat(candidates).containsSubsequence(remaining);
    }
  }

  @Test
  void successesEarnRetries() {
    RetryBudget budget = new RetryBudget();
    for (int i = 0; i < 3; i++) {
      assertThat(budget.trySpend("a")).isTrue();
    }
    assertThat(budget.trySpend("a")).isFalse();
    for (int i = 0; i < 10; i++) {
      budget.recordSuccess("a");
    }
    assertThat(budget.trySpend("a")).isTrue();
    assertThat(budget.trySpend("a")).isFalse();
    for (int i = 0; i < 1_000; i++) {
      budget.recordSuccess("a");
    }
    int retries = 0;
    while (budget.trySpend("a")) {
      retries++;
    }
    assertThat(retries).isEqualTo(10);
  }

  @ParameterizedTest
  @CsvSource({"1, 25, 50", "2, 50, 100", "4, 200, 400", "30, 2500, 5000"})
  void backoffIsDrawnFromTheUpperHalfOfItsRange(int retry, long least, long most) {
    List<Long> delays = new ArrayList<>();
    for (long draw = 0; draw < 100; draw++) {
      delays.add(Backoff.delayMs(retry, draw));
    }
    assertThat(delays).allMatch(delay -> delay >= least && delay <= most);
    assertThat(delays.stream().distinct().count()).isGreaterThan(15);
  }

  private static TargetView view(String id, double gapMs, long ageMs) {
    return new TargetView(id, "z", true, 0, Optional.of(new LoadHint(id, 3, 0, 0.5, gapMs)), ageMs);
  }
}
