package org.sequoiareach.decision.hedge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class HedgeBudgetTest {

  private static final long WINDOW_MS = 10_000;
  private static final long DURATION_MS = 40_000;

  /** Guards against daemons that are each within the ratio, but not all together. */
  @Property(tries = 40, seed = "20261206")
  void sumOfAllDaemonsStaysWithinRatioWithoutMessages(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 80) int daemons,
      @ForAll @DoubleRange(min = 0.02, max = 1) double ratio) {
    Random random = new Random(seed);
    List<HedgeBudget> budgets =
        IntStream.range(0, daemons).mapToObj(i -> new HedgeBudget()).toList();
    List<Long> requests = new ArrayList<>();
    List<Long> hedges = new ArrayList<>();
    for (long nowMs = 0; nowMs < DURATION_MS; nowMs += 10) {
      // Daemons with a low number get most requests, and every request would be hedged.
      int daemon = (int) (daemons * Math.pow(random.nextDouble(), 3));
      HedgeBudget budget = budgets.get(daemon);
      budget.recordRequest(nowMs);
      requests.add(nowMs);
      if (budget.isAvailable(nowMs, ratio, WINDOW_MS)) {
        budget.recordHedge(nowMs);
        hedges.add(nowMs);
      }
    }

    for (long fromMs = 0; fromMs + WINDOW_MS <= DURATION_MS; fromMs += 500) {
      assertThat((double) countIn(hedges, fromMs))
          .as("hedged requests in the window from " + fromMs + " ms")
          .isLessThanOrEqualTo(ratio * countIn(requests, fromMs));
    }
  }

  /** Guards against a budget that is so careful that it never lets anything pass. */
  @Example
  void letsMostOfTheRatioPass() {
    HedgeBudget budget = new HedgeBudget();
    int hedged = 0;
    for (long nowMs = 0; nowMs < WINDOW_MS; nowMs += 10) {
      budget.recordRequest(nowMs);
      if (budget.isAvailable(nowMs, 0.1, WINDOW_MS)) {
        budget.recordHedge(nowMs);
        hedged++;
      }
    }
    assertThat(hedged).isEqualTo(80);
    assertThat(budget.isAvailable(WINDOW_MS, 0, WINDOW_MS)).isFalse();
  }

  private static long countIn(List<Long> times, long fromMs) {
    return times.stream().filter(at -> at >= fromMs && at < fromMs + WINDOW_MS).count();
  }
}
