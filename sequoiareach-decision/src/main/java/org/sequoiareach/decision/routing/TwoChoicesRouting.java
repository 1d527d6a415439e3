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
 * Draws two candidates and chooses the one that is expected to be less loaded.
 *
 * <p>The cost of a candidate is the expected fill of its memory as the owner's hint gives it, plus
 * what is queued there and what this daemon has sent since the hint was made, each at the share of
 * memory that a running attempt takes. A hint loses half its weight with every {@value
 * #HINT_HALF_LIFE_MS} ms, and the number of own attempts in progress takes its place. A candidate
 * whose tokens come slower than those of the other pays for it. Where costs are near, the one in
 * this daemon's availability zone wins.
 *
 * <p>The target that is likely to have the prompt's prefix cached is a third candidate. What it has
 * cached lowers its cost, by at most {@link #WORTH_OF_CACHED_PROMPT}, so that load outweighs it.
 */
public final class TwoChoicesRouting implements RoutingStrategy {

  static final long HINT_HALF_LIFE_MS = 2_000;
  static final double SHARE_OF_ONE_ATTEMPT = 0.04;
  static final double FILL_WITHOUT_HINT = 0.5;
  static final double NEAR_COSTS = 0.03;
  static final double WORTH_OF_CACHED_PROMPT = 0.15;
  static final int LONG_PROMPT_TOKENS = 1_024;

  private static final double SLOWNESS_TOLERATED = 1.25;
  private static final double MOST_SLOWNESS_COST = 1.0;
  private static final int TARGETS_REMEMBERED = 16_384;

  private final PrefixLocality prefixes;
  private final Map<String, SentSinceHint> sent =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SentSinceHint> eldest) {
          return size() > TARGETS_REMEMBERED;
        }
      };

  /**
   * Creates the strategy.
   *
   * @param prefixes tells where prefixes are cached; the strategy adds what it sends
   */
  public TwoChoicesRouting(PrefixLocality prefixes) {
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
      noteSent(nowMs, spec, first);
      return Optional.of(new RouteChoice(first.targetId(), "only candidate", List.of()));
    }
    int step = 1 + (int) Long.remainderUnsigned(Backoff.mix(draw), size - 1);
    TargetView second = candidates.get((i + step) % size);
    Comparison drawn = compare(nowMs, spec, first, second);
    Optional<TargetView> holder =
        findHolder(spec, candidates).filter(view -> view != first && view != second);
    Comparison last = holder.map(view -> compare(nowMs, spec, view, drawn.winner())).orElse(drawn);
    noteSent(nowMs, spec, last.winner());
    return Optional.of(last.toChoice(drawn));
  }

  @Override
  public Optional<String> findPreferred(RequestSpec spec) {
    return prefixes.findHolder(spec);
  }

  private Optional<TargetView> findHolder(RequestSpec spec, List<TargetView> candidates) {
    Optional<String> holder = prefixes.findHolder(spec);
    if (holder.isEmpty()) {
      return Optional.empty();
    }
    String id = holder.get();
    return candidates.stream().filter(view -> view.targetId().equals(id)).findFirst();
  }

  private Comparison compare(long nowMs, RequestSpec spec, TargetView a, TargetView b) {
    double costA = cost(nowMs, a) + slowness(a, b) - cachedWorth(spec, a);
    double costB = cost(nowMs, b) + slowness(b, a) - cachedWorth(spec, b);
    boolean near = Math.abs(costA - costB) <= NEAR_COSTS && a.sameZone() != b.sameZone();
    boolean takeA = near ? a.sameZone() : costA <= costB;
    return takeA
        ? new Comparison(a, costA, b, costB, near)
        : new Comparison(b, costB, a, costA, near);
  }

  private double cachedWorth(RequestSpec spec, TargetView view) {
    double length = Math.min(1, (double) spec.promptTokens() / LONG_PROMPT_TOKENS);
    return WORTH_OF_CACHED_PROMPT * length * prefixes.match(view.targetId(), spec);
  }

  private double cost(long nowMs, TargetView view) {
    double own = view.outstanding() * SHARE_OF_ONE_ATTEMPT;
    if (view.hint().isEmpty()) {
      return FILL_WITHOUT_HINT + own;
    }
    LoadHint hint = view.hint().get();
    double share = shareOfOneAttempt(hint);
    double hinted = hint.expectedFill() + share * (hint.queued() + sentSinceHint(nowMs, view));
    double weight = Math.pow(0.5, (double) view.hintAgeMs() / HINT_HALF_LIFE_MS);
    return weight * hinted + (1 - weight) * (FILL_WITHOUT_HINT + own);
  }

  private static double shareOfOneAttempt(LoadHint hint) {
    if (hint.running() == 0 || hint.expectedFill() <= 0) {
      return SHARE_OF_ONE_ATTEMPT;
    }
    return hint.expectedFill() / hint.running();
  }

  private static double slowness(TargetView view, TargetView other) {
    double gap = view.hint().map(LoadHint::tokenGapMs).orElse(0.0);
    double otherGap = other.hint().map(LoadHint::tokenGapMs).orElse(0.0);
    if (gap <= 0 || otherGap <= 0 || gap <= SLOWNESS_TOLERATED * otherGap) {
      return 0;
    }
    return Math.min(MOST_SLOWNESS_COST, gap / otherGap - 1);
  }

  private int sentSinceHint(long nowMs, TargetView view) {
    SentSinceHint entry = sent.get(view.targetId());
    return entry == null || entry.hintMadeMs < nowMs - view.hintAgeMs() ? 0 : entry.count;
  }

  private void noteSent(long nowMs, RequestSpec spec, TargetView view) {
    prefixes.sent(view.targetId(), spec);
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

    RouteChoice toChoice(Comparison earlier) {
      List<String> losers = new ArrayList<>(2);
      losers.add(text(loser, loserCost));
      if (earlier != this) {
        losers.add(text(earlier.loser, earlier.loserCost));
      }
      String why = near ? "same zone at cost " : "lower cost ";
      return new RouteChoice(winner.targetId(), why + text(cost), losers);
    }

    private static String text(TargetView view, double cost) {
      return view.targetId() + "=" + text(cost);
    }

    private static String text(double cost) {
      return String.valueOf(Math.round(cost * 100) / 100.0);
    }
  }

  private static final class SentSinceHint {
    private long hintMadeMs = Long.MIN_VALUE;
    private int count;
  }
}
