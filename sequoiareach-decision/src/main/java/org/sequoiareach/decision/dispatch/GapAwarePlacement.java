package org.sequoiareach.decision.dispatch;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.route.EngineTraits;

/**
 * Chooses engines for runs whose events must not be far apart, while some engines are known to be
 * slow. Otherwise the choice is that of {@link PrefillPlacement}, whose limits hold in any case.
 *
 * <p>Long runs stay away from slow engines on which a prefill and a slow spell would part their
 * events too far. Short runs take the slow engines once the long ones need the others, if their
 * first event is expected in time.
 */
final class GapAwarePlacement implements PlacementStrategy {

  /** Engines are this much slower for half a second at a time, which no observation foretells. */
  private static final double SPELL_RATIO = 2.5;

  /** The margin of the first event on a slow engine: a spell covers only a part of a prefill. */
  private static final double FIRST_EVENT_MARGIN = 2;

  /**
   * The share of the memory of the other engines from which on short runs prefer slow ones. Below,
   * long runs find room without that.
   */
  private static final double NEEDED_FILL_RATIO = 0.7;

  /** An engine whose runs have read prompts of more than this share of its memory has long runs. */
  private static final double LONG_RUNS_FILL_RATIO = 0.05;

  private final PrefillPlacement prefill;
  private final GapForecast forecast;
  private final long targetGapMs;
  private final long firstEventMs;

  /**
   * Creates a strategy for one call.
   *
   * @param prefill the strategy for engines of the same speed
   * @param forecast forecasts the events of runs on the engines of the service
   * @param targetGapMs the longest gap between two events, in milliseconds
   * @param firstEventMs the time left to the first event, in milliseconds
   */
  GapAwarePlacement(
      PrefillPlacement prefill, GapForecast forecast, long targetGapMs, long firstEventMs) {
    this.prefill = prefill;
    this.forecast = forecast;
    this.targetGapMs = targetGapMs;
    this.firstEventMs = firstEventMs;
  }

  /** How well an engine suits a run, from best to worst. */
  private enum Suitability {
    SUITABLE,
    /** A slow spell would part the events of the run, or of those there, too far. */
    GAP_AT_RISK,
    /** The first event is expected too late. */
    LATE
  }

  @Override
  public Optional<Candidate> choose(
      Optional<GenerationDemand> demand, List<Candidate> candidates, long draw) {
    if (demand.isEmpty() || candidates.stream().noneMatch(Candidate::isSlow)) {
      return prefill.choose(demand, candidates, draw);
    }
    List<Candidate> fitting = prefill.findFitting(demand, candidates);
    Optional<Suitability> best =
        fitting.stream()
            .map(candidate -> suitability(candidate, demand.get()))
            .min(Enum::compareTo);
    List<Candidate> suited =
        fitting.stream()
            .filter(candidate -> suitability(candidate, demand.get()) == best.orElseThrow())
            .toList();
    return prefill.chooseCheapest(
        spareFastEngines(demand.get(), fitting, suited),
        candidate -> prefill.estimateCostTokens(candidate, demand) + delay(candidate, demand.get()),
        draw);
  }

  private Suitability suitability(Candidate candidate, GenerationDemand demand) {
    double margin = candidate.isSlow() ? FIRST_EVENT_MARGIN : 1;
    if (margin * forecast.firstEventMs(candidate, demand) > firstEventMs) {
      return Suitability.LATE;
    }
    return candidate.isSlow() && isGapAtRisk(candidate, demand)
        ? Suitability.GAP_AT_RISK
        : Suitability.SUITABLE;
  }

  private boolean isGapAtRisk(Candidate candidate, GenerationDemand demand) {
    // A long run meets the prefill of others at some time, and its own meets the runs there.
    boolean prefilling =
        isLong(candidate, demand)
            || candidate.use().waitingPromptTokens() > 0
            || hasLongRuns(candidate);
    return SPELL_RATIO * forecast.gapMs(candidate, prefilling) > targetGapMs;
  }

  private static boolean hasLongRuns(Candidate candidate) {
    long readTokens = candidate.use().memoryTokens() - candidate.use().waitingPromptTokens();
    return candidate
        .engine()
        .filter(engine -> readTokens > LONG_RUNS_FILL_RATIO * engine.memoryTokens())
        .isPresent();
  }

  /** Leaves the engines that are not slow to long runs, if those are likely to need them. */
  private List<Candidate> spareFastEngines(
      GenerationDemand demand, List<Candidate> fitting, List<Candidate> suited) {
    List<Candidate> slow =
        suited.stream()
            .filter(engine -> engine.isSlow() && engine.use().waitingPromptTokens() == 0)
            .filter(engine -> !isLong(engine, demand))
            .toList();
    return slow.isEmpty() || !areFastEnginesNeeded(fitting) ? suited : slow;
  }

  private static boolean areFastEnginesNeeded(List<Candidate> fitting) {
    List<Candidate> fast = fitting.stream().filter(candidate -> !candidate.isSlow()).toList();
    long used = fast.stream().mapToLong(candidate -> candidate.use().memoryTokens()).sum();
    long memory =
        fast.stream()
            .flatMap(candidate -> candidate.engine().stream())
            .mapToLong(EngineTraits::memoryTokens)
            .sum();
    return used >= NEEDED_FILL_RATIO * memory;
  }

  /** Returns how much longer a slow engine takes to the first event, in prefill tokens. */
  private static long delay(Candidate candidate, GenerationDemand demand) {
    if (!candidate.isSlow()) {
      return 0;
    }
    long tokens = candidate.use().waitingPromptTokens() + demand.promptTokens();
    return Math.round((candidate.slowness().orElseThrow().relative() - 1) * tokens);
  }

  private static boolean isLong(Candidate candidate, GenerationDemand demand) {
    return GapForecast.isLong(demand, GapForecast.tokensPerEvent(candidate));
  }
}
