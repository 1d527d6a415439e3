package org.sequoiareach.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.placement.LoadHint;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;

class PrefixLocalityTest {

  private final PrefixLocality prefixes = new PrefixLocality();

  @Test
  void gapMakesEarlierEntriesUncertainUntilTheyAreConfirmed() {
    RequestSpec spec = spec(1L, 2L, 3L, 4L);
    prefixes.cacheChanged("a", 7, List.of(1L, 2L), List.of());
    assertThat(prefixes.match("a", spec)).isEqualTo(0.5);
    prefixes.cacheChanged("a", 9, List.of(9L), List.of());
    assertThat(prefixes.match("a", spec)).isEqualTo(0.25);
    prefixes.cacheChanged("a", 10, List.of(2L), List.of());
    assertThat(prefixes.match("a", spec)).isEqualTo(0.5);
    prefixes.cacheChanged("a", 11, List.of(), List.of(2L));
    assertThat(prefixes.match("a", spec)).isCloseTo(0.125, within(1e-9));
    prefixes.cacheChanged("a", 8, List.of(4L), List.of());
    assertThat(prefixes.match("a", spec)).as("a late event is old").isEqualTo(0.125);
    prefixes.forget("a");
    assertThat(prefixes.match("a", spec)).isZero();
  }

  @Test
  void sentPromptsAreExpectedToBeCached() {
    prefixes.sent("a", spec(1L, 2L));

    assertThat(prefixes.match("a", spec(1L, 2L))).isEqualTo(PrefixTable.UNCERTAIN_WORTH);
    assertThat(prefixes.findHolder(spec(1L, 5L))).contains("a");
    assertThat(prefixes.findHolder(spec(5L))).isEmpty();
  }

  @Test
  void tableKeepsTheLatestOfMoreThanItHolds() {
    PrefixTable table = new PrefixTable();
    List<Long> all = new ArrayList<>();
    for (long digest = 1; digest <= 20_000; digest++) {
      all.add(digest);
    }
    table.apply(1, all, List.of());

    assertThat(table.match(List.of(20_000L))).isEqualTo(1);
    assertThat(table.match(List.of(1L))).isZero();
  }

  @ParameterizedTest
  @CsvSource({"0.30, 0.40, b", "0.30, 0.50, a"})
  void cachedPrefixIsWeighedAgainstLoad(double fillA, double fillB, String expected) {
    prefixes.cacheChanged("b", 1, List.of(1L, 2L), List.of());
    List<TargetView> candidates =
        List.of(view("a", fillA), view("c", 0.9), view("d", 0.9), view("b", fillB));

    // The draw of 0 gives "a" first.
    RouteChoice choice =
        new TwoChoicesRouting(prefixes).choose(0, spec(1L, 2L), candidates, 0).orElseThrow();

    assertThat(choice.targetId()).isEqualTo(expected);
  }

  private static RequestSpec spec(Long... digests) {
    return new RequestSpec(
        "r",
        "org",
        RequestKind.GENERATION,
        "model",
        "",
        true,
        "",
        2_000,
        10,
        List.of(digests),
        true);
  }

  private static TargetView view(String id, double fill) {
    return new TargetView(id, "z", true, 0, Optional.of(new LoadHint(id, 10, 0, fill, 20)), 0);
  }
}
