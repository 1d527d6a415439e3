package org.sequoiareach.decision.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
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
 */
public final class TwoChoicesRouting implements RoutingStrategy {

  static final long HINT_HALF_LIFE_MS = 2_000;
  static final double SHARE_OF_ONE_ATTEMPT = 0.04;
  static final double FILL_WITHOUT_HINT = 0.5;
  static final double NEAR_COSTS = 0.03;

  private static final double SLOWNESS_TOLERATED = 1.25;
  private static final double MOST_SLOWNESS_COST = 1.0;
  private static final int TARGETS_REMEMBERED = 16_384;

  private final Map<String, SentSinceHint> sent =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SentSinceHint> eldest) {
          return size() > TARGETS_REMEMBERED;
        }
      };

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
      noteSent(nowMs, first);
      return Optional.of(new RouteChoice(first.targetId(), "only candidate", List.of()));
    }
    int step = 1 + (int) Long.remainderUnsigned(Backoff.mix(draw), size - 1);
    return Optional.of(better(nowMs, first, candidates.get((i + step) % size)));
  }

  private RouteChoice better(long nowMs, TargetView a, TargetView b) {
    double costA = cost(nowMs, a) + slowness(a, b);
    double costB = cost(nowMs, b) + slowness(b, a);
    boolean near = Math.abs(costA - costB) <= NEAR_COSTS && a.sameZone() != b.sameZone();
    boolean takeA = near ? a.sameZone() : costA <= costB;
    TargetView winner = takeA ? a : b;
    noteSent(nowMs, winner);
    String reason = (near ? "same zone at cost " : "lower cost ") + text(takeA ? costA : costB);
    String loser = (takeA ? b : a).targetId() + "=" + text(takeA ? costB : costA);
    return new RouteChoice(winner.targetId(), reason, List.of(loser));
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

  private void noteSent(long nowMs, TargetView view) {
    long hintMadeMs = view.hint().isEmpty() ? Long.MIN_VALUE : nowMs - view.hintAgeMs();
    SentSinceHint entry = sent.computeIfAbsent(view.targetId(), id -> new SentSinceHint());
    if (entry.hintMadeMs < hintMadeMs) {
      entry.hintMadeMs = hintMadeMs;
      entry.count = 0;
    }
    entry.count++;
  }

  private static String text(double cost) {
    return String.format(Locale.ROOT, "%.2f", cost);
  }

  private static final class SentSinceHint {
    private long hintMadeMs = Long.MIN_VALUE;
    private int count;
  }
}
