package org.sequoiareach.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.placement.LoadHint;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;

class RoutingStrategiesTest {

  private static final RequestSpec SPEC =
      new RequestSpec(
          "r", "org", RequestKind.GENERATION, "model", "", true, "", 10, 10, List.of(), true);

  @Test
  void roundRobinCyclesThroughCandidates() {
    RoundRobinRouting routing = new RoundRobinRouting();
    List<TargetView> views = List.of(view("a", 5), view("b", 0), view("c", 1));

    List<String> chosen = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      chosen.add(routing.choose(0, SPEC, views, i).orElseThrow().targetId());
    }

    assertThat(chosen).containsExactly("a", "b", "c", "a");
  }

  @ParameterizedTest
  @CsvSource({"0, b", "1, d", "2, b", "-1, d"})
  void leastOutstandingBreaksTiesByDraw(long draw, String expected) {
    List<TargetView> views = List.of(view("a", 5), view("b", 1), view("c", 2), view("d", 1));

    RouteChoice choice = new LeastOutstandingRouting().choose(0, SPEC, views, draw).orElseThrow();

    assertThat(choice.targetId()).isEqualTo(expected);
    assertThat(choice.losers()).hasSize(3);
  }

  @ParameterizedTest
  @CsvSource({
    "0.20, 0, 20, 0, 0.80, 0, 20, 0, a", // lower fill
    "0.50, 9, 20, 0, 0.60, 0, 20, 0, b", // queued attempts count
    "0.50, 0, 20, 0, 0.51, 0, 20, 0, b", // near tie: the same zone wins
    "0.50, 0, 80, 0, 0.70, 0, 20, 0, b", // slow tokens are penalised
    "0.10, 0, 20, 60000, 0.40, 0, 20, 0, b" // a stale hint has little weight
  })
  void powerOfTwoChoicesTakesTheLowerCost(
      double fillA,
      int queuedA,
      double gapA,
      long ageA,
      double fillB,
      int queuedB,
      double gapB,
      long ageB,
      String expected) {
    TargetView a = hinted("a", false, new LoadHint("a", 10, queuedA, fillA, gapA), ageA);
    TargetView b = hinted("b", true, new LoadHint("b", 10, queuedB, fillB, gapB), ageB);

    RouteChoice choice =
        new PowerOfTwoChoicesRouting(new PrefixCacheIndex())
            .choose(100_000, SPEC, List.of(a, b), 0)
            .orElseThrow();

    assertThat(choice.targetId()).isEqualTo(expected);
  }

  @Test
  void powerOfTwoChoicesCountsAttemptsSentSinceTheHint() {
    PowerOfTwoChoicesRouting routing = new PowerOfTwoChoicesRouting(new PrefixCacheIndex());
    TargetView a = hinted("a", true, new LoadHint("a", 10, 0, 0.50, 0), 0);
    TargetView b = hinted("b", true, new LoadHint("b", 10, 0, 0.58, 0), 0);

    List<String> chosen = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      chosen.add(routing.choose(0, SPEC, List.of(a, b), i).orElseThrow().targetId());
    }

    assertThat(chosen).contains("b").startsWith("a", "a");
  }

  @Property(tries = 200, seed = "20261203")
  void choicesAreCandidatesAndRepeatable(@ForAll @IntRange(max = 6) int size, @ForAll long draw) {
    List<TargetView> views = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      views.add(view("t" + i, i % 3));
    }
    for (RoutingStrategy routing :
        List.of(
            new LeastOutstandingRouting(), new PowerOfTwoChoicesRouting(new PrefixCacheIndex()))) {
      Optional<RouteChoice> choice = routing.choose(0, SPEC, views, draw);
      assertThat(choice.isPresent()).isEqualTo(size > 0);
      choice.ifPresent(
          c -> assertThat(views).anyMatch(view -> view.targetId().equals(c.targetId())));
    }
    assertThat(new PowerOfTwoChoicesRouting(new PrefixCacheIndex()).choose(0, SPEC, views, draw))
        .isEqualTo(
            new PowerOfTwoChoicesRouting(new PrefixCacheIndex()).choose(0, SPEC, views, draw));
  }

  private static TargetView view(String id, int outstanding) {
    return new TargetView(id, "z1", true, outstanding, Optional.empty(), 0);
  }

  private static TargetView hinted(String id, boolean sameZone, LoadHint hint, long ageMs) {
    return new TargetView(id, "z1", sameZone, 0, Optional.of(hint), ageMs);
  }
}
