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

class PrefixCacheIndexTest {

  private final PrefixCacheIndex prefixes = new PrefixCacheIndex();

  @Test
  void sequenceGapMakesEntriesUnconfirmedUntilStoredAgain() {
    RequestSpec spec = spec(1L, 2L, 3L, 4L);
    prefixes.applyCacheEvent("a", 7, List.of(1L, 2L), List.of());
    assertThat(prefixes.matchScore("a", spec)).isEqualTo(0.5);
    prefixes.applyCacheEvent("a", 9, List.of(9L), List.of());
    assertThat(prefixes.matchScore("a", spec)).isEqualTo(0.25);
    prefixes.applyCacheEvent("a", 10, List.of(2L), List.of());
    assertThat(prefixes.matchScore("a", spec)).isEqualTo(0.5);
    prefixes.applyCacheEvent("a", 11, List.of(), List.of(2L));
    assertThat(prefixes.matchScore("a", spec)).isCloseTo(0.125, within(1e-9));
    prefixes.applyCacheEvent("a", 8, List.of(4L), List.of());
    assertThat(prefixes.matchScore("a", spec)).as("late events are ignored").isEqualTo(0.125);
    prefixes.removeTarget("a");
    assertThat(prefixes.matchScore("a", spec)).isZero();
  }

  @Test
  void sentPromptsAreUnconfirmedEntries() {
    prefixes.recordSent("a", spec(1L, 2L));

    assertThat(prefixes.matchScore("a", spec(1L, 2L)))
        .isEqualTo(TargetPrefixCache.UNCONFIRMED_MATCH_WEIGHT);
    assertThat(prefixes.findTargetWithPrefix(spec(1L, 5L))).contains("a");
    assertThat(prefixes.findTargetWithPrefix(spec(5L))).isEmpty();
  }

  @Test
  void cacheKeepsTheLatestDigestsBeyondItsCapacity() {
    TargetPrefixCache cache = new TargetPrefixCache();
    List<Long> all = new ArrayList<>();
    for (long digest = 1; digest <= 20_000; digest++) {
      all.add(digest);
    }
    cache.apply(1, all, List.of());

    assertThat(cache.matchScore(List.of(20_000L))).isEqualTo(1);
    assertThat(cache.matchScore(List.of(1L))).isZero();
  }

  @ParameterizedTest
  @CsvSource({"0.30, 0.40, b", "0.30, 0.50, a"})
  void cachedPrefixOutweighsOnlySmallDifferencesInLoad(
      double fillA, double fillB, String expected) {
    prefixes.applyCacheEvent("b", 1, List.of(1L, 2L), List.of());
    List<TargetView> candidates =
        List.of(view("a", fillA), view("c", 0.9), view("d", 0.9), view("b", fillB));

    // With a draw of 0 the first candidate is "a".
    RouteChoice choice =
        new PowerOfTwoChoicesRouting(prefixes).choose(0, spec(1L, 2L), candidates, 0).orElseThrow();

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
