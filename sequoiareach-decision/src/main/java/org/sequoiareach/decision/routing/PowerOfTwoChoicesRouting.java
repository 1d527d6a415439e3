package org.sequoiareach.decision.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.decision.placement.LoadHint;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.RequestSpec;

/**
 * Routes to the less loaded of two random candidates (power of two choices).
 *
 * <p>The cost of a candidate is the expected memory fill from the hint of its owner, plus the
 * attempts queued there and those sent by this daemon since the hint was made, each weighted by the
 * fill per running attempt. The weight of a hint halves every {@value #HINT_HALF_LIFE_MS} ms; the
 * rest of the weight goes to an estimate from the attempts of this daemon in progress. A candidate
 * whose time between tokens is well above that of the other incurs a penalty. If the costs are
 * nearly equal, the candidate in the availability zone of this daemon wins.
 *
 * <p>The target that is most likely to have the prefix of the prompt cached is considered as a
 * third candidate. A cached prefix lowers the cost by at most {@link #MAX_CACHE_DISCOUNT}, so that
 * it never outweighs a large difference in load.
 */
public final class PowerOfTwoChoicesRouting implements RoutingStrategy {

  static final long HINT_HALF_LIFE_MS = 2_000;
  static final double DEFAULT_FILL_PER_ATTEMPT = 0.04;
  static final double DEFAULT_FILL = 0.5;
  static final double NEAR_TIE_MARGIN = 0.03;
  static final double MAX_CACHE_DISCOUNT = 0.15;
  static final int FULL_DISCOUNT_PROMPT_TOKENS = 1_024;

  private static final double TOLERATED_GAP_RATIO = 1.25;
  private static final double MAX_SLOWNESS_PENALTY = 1.0;
  private static final int MAX_TRACKED_TARGETS = 16_384;

  private final PrefixCacheIndex prefixes;
  private final Map<String, SentSinceHint> sent =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SentSinceHint> eldest) {
          return size() > MAX_TRACKED_TARGETS;
        }
      };

  /**
   * Creates the strategy.
   *
   * @param prefixes the index of cached prefixes, which the strategy also updates with the prompts
   *     it routes
   */
  public PowerOfTwoChoicesRouting(PrefixCacheIndex prefixes) {
    this.prefixes = Check.notNull(prefixes, "prefixes");
  }

  @Override
  public Optional<RouteChoice> choose(
      long nowMs, RequestSpec spec, List<TargetView> candidates, long draw) {
    Check.notNull(candidates, "candidates");
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    int size = candidates.size();
    int i = (int) Long.remainderUnsigned(draw, size);
    TargetView first = candidates.get(i);
    if (size == 1) {
      recordSent(nowMs, spec, first);
      return Optional.of(new RouteChoice(first.targetId(), "only candidate", List.of()));
    }
    int step = 1 + (int) Long.remainderUnsigned(Backoff.mix(draw), size - 1);
    TargetView second = candidates.get((i + step) % size);
    Comparison drawn = compare(nowMs, spec, first, second);
    Optional<TargetView> cachedTarget =
        findTargetWithPrefix(spec, candidates).filter(view -> view != first && view != second);
    Comparison last =
        cachedTarget.map(view -> compare(nowMs, spec, view, drawn.winner())).orElse(drawn);
    recordSent(nowMs, spec, last.winner());
    return Optional.of(last.toChoice(drawn));
  }

  @Override
  public Optional<String> findPreferred(RequestSpec spec) {
    return prefixes.findTargetWithPrefix(spec);
  }

  private Optional<TargetView> findTargetWithPrefix(RequestSpec spec, List<TargetView> candidates) {
    Optional<String> cachedTarget = prefixes.findTargetWithPrefix(spec);
    if (cachedTarget.isEmpty()) {
      return Optional.empty();
    }
    String id = cachedTarget.get();
    return candidates.stream().filter(view -> view.targetId().equals(id)).findFirst();
  }

  private Comparison compare(long nowMs, RequestSpec spec, TargetView a, TargetView b) {
    double costA = cost(nowMs, a) + slownessPenalty(a, b) - cacheDiscount(spec, a);
    double costB = cost(nowMs, b) + slownessPenalty(b, a) - cacheDiscount(spec, b);
    boolean near = Math.abs(costA - costB) <= NEAR_TIE_MARGIN && a.sameZone() != b.sameZone();
    boolean takeA = near ? a.sameZone() : costA <= costB;
    return takeA
        ? new Comparison(a, costA, b, costB, near)
        : new Comparison(b, costB, a, costA, near);
  }

  private double cacheDiscount(RequestSpec spec, TargetView view) {
    double length = Math.min(1, (double) spec.promptTokens() / FULL_DISCOUNT_PROMPT_TOKENS);
    return MAX_CACHE_DISCOUNT * length * prefixes.matchScore(view.targetId(), spec);
  }

  private double cost(long nowMs, TargetView view) {
    double own = view.outstanding() * DEFAULT_FILL_PER_ATTEMPT;
    if (view.hint().isEmpty()) {
      return DEFAULT_FILL + own;
    }
    LoadHint hint = view.hint().get();
    double fillPerAttempt = fillPerAttempt(hint);
    double hinted =
        hint.expectedFill() + fillPerAttempt * (hint.queued() + sentSinceHint(nowMs, view));
    double weight = Math.pow(0.5, (double) view.hintAgeMs() / HINT_HALF_LIFE_MS);
    return weight * hinted + (1 - weight) * (DEFAULT_FILL + own);
  }

  private static double fillPerAttempt(LoadHint hint) {
    if (hint.running() == 0 || hint.expectedFill() <= 0) {
      return DEFAULT_FILL_PER_ATTEMPT;
    }
    return hint.expectedFill() / hint.running();
  }

  private static double slownessPenalty(TargetView view, TargetView other) {
    double gap = view.hint().map(LoadHint::tokenGapMs).orElse(0.0);
    double otherGap = other.hint().map(LoadHint::tokenGapMs).orElse(0.0);
    if (gap <= 0 || otherGap <= 0 || gap <= TOLERATED_GAP_RATIO * otherGap) {
      return 0;
    }
    return Math.min(MAX_SLOWNESS_PENALTY, gap / otherGap - 1);
  }

  private int sentSinceHint(long nowMs, TargetView view) {
    SentSinceHint entry = sent.get(view.targetId());
    return entry == null || entry.hintMadeMs < nowMs - view.hintAgeMs() ? 0 : entry.count;
  }

  private void recordSent(long nowMs, RequestSpec spec, TargetView view) {
    prefixes.recordSent(view.targetId(), spec);
    long hintMadeMs = view.hint().isEmpty() ? Long.MIN_VALUE : nowMs - view.hintAgeMs();
    SentSinceHint entry = sent.computeIfAbsent(view.targetId(), id -> new SentSinceHint());
    if (entry.hintMadeMs < hintMadeMs) {
      entry.hintMadeMs = hintMadeMs;
      entry.count = 0;
    }
    entry.count++;
  }

  private record Comparison(
      TargetView winner, double cost, TargetView loser, double loserCost, boolean near) {

    RouteChoice toChoice(Comparison previous) {
      List<String> losers = new ArrayList<>(2);
      losers.add(format(loser, loserCost));
      if (previous != this) {
        losers.add(format(previous.loser, previous.loserCost));
      }
      String why = near ? "same zone at cost " : "lower cost ";
      return new RouteChoice(winner.targetId(), why + format(cost), losers);
    }

    private static String format(TargetView view, double cost) {
      return view.targetId() + "=" + format(cost);
    }

    private static String format(double cost) {
      return String.valueOf(Math.round(cost * 100) / 100.0);
    }
  }

  private static final class SentSinceHint {
    private long hintMadeMs = Long.MIN_VALUE;
    private int count;
  }
}
