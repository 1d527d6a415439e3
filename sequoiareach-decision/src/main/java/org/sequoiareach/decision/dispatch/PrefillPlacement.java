package org.sequoiareach.decision.dispatch;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.sequoiareach.model.route.EngineTraits;

/**
 * Chooses the engine that is expected to return the first token soonest, among those whose memory
 * is expected to hold the run to its end.
 *
 * <p>Engines prefill prompts one after the other, so a second long prompt on an engine waits for
 * the whole prefill of the first while another engine may be idle. If few engines are left, runs
 * beyond their memory are refused: a further run would preempt others and leave no memory for runs
 * that are migrated.
 */
final class PrefillPlacement implements PlacementStrategy {

  /** The delay that a running call adds to the first token of another. */
  private static final double CALL_COST_MS = 8;

  /** The delay that another availability zone adds to the first token. */
  private static final double CROSS_ZONE_COST_MS = 6;

  /**
   * The share of an engine's memory that expected lengths fill at no extra cost; the rest covers
   * their estimation error.
   */
  private static final double PREFERRED_FILL_RATIO = 0.9;

  /** The cost of each token beyond that share, in prefill tokens. */
  private static final long OVERFLOW_COST_FACTOR = 4;

  /** The calls that may be queued at an engine per slot. */
  private static final double QUEUED_CALLS_PER_SLOT = 0.5;

  /**
   * The ratio of expected lengths to memory up to which an engine is overcommitted. Some runs end
   * before the others reach their full length; beyond this ratio engines preempt runs and prefill
   * their prompts again.
   */
  private static final double OVERCOMMIT_RATIO = 1.2;

  /** The same for short generations, which end before the others reach their full length. */
  private static final double SHORT_OVERCOMMIT_RATIO = 1.5;

  /** The maximum decode time of a short generation. */
  static final long SHORT_DECODE_MS = 1_800;

  private final RunDurationEstimator durations;
  private final double toleranceMs;

  /** Creates a strategy for a service whose engines have the observed durations. */
  PrefillPlacement(RunDurationEstimator durations) {
    this(durations, 0);
  }

  /**
   * Creates a strategy that draws among engines of about the same delay.
   *
   * @param durations the observed durations of the engines
   * @param toleranceMs how much longer than on the best engine the delay may be, in milliseconds:
   *     daemons that decide at the same time on the same figures would all choose that one
   */
  PrefillPlacement(RunDurationEstimator durations, double toleranceMs) {
    this.durations = durations;
    this.toleranceMs = toleranceMs;
  }

  @Override
  public Optional<Candidate> choose(
      Optional<GenerationDemand> demand, List<Candidate> candidates, long draw) {
    return chooseCheapest(
        findFitting(demand, candidates), candidate -> estimateCostTokens(candidate, demand), draw);
  }

  /** Returns the candidates whose slots and memory have room for a run. */
  List<Candidate> findFitting(Optional<GenerationDemand> demand, List<Candidate> candidates) {
    return candidates.stream().filter(candidate -> hasCapacity(candidate, demand)).toList();
  }

  /** Draws one of the candidates whose cost, in prefill tokens, exceeds the lowest one little. */
  Optional<Candidate> chooseCheapest(
      List<Candidate> candidates, ToLongFunction<Candidate> cost, long draw) {
    Map<Candidate, Long> costs = new LinkedHashMap<>();
    candidates.forEach(candidate -> costs.put(candidate, cost.applyAsLong(candidate)));
    if (costs.isEmpty()) {
      return Optional.empty();
    }
    long tolerated =
        Collections.min(costs.values()) + Math.round(toleranceMs * durations.prefillTokensPerMs());
    List<Candidate> best =
        costs.entrySet().stream()
            .filter(entry -> entry.getValue() <= tolerated)
            .map(Map.Entry::getKey)
            .toList();
    return Optional.of(best.get((int) Long.remainderUnsigned(draw, best.size())));
  }

  private boolean hasCapacity(Candidate candidate, Optional<GenerationDemand> demand) {
    if (candidate.use().calls() >= candidate.target().slots() * (1 + QUEUED_CALLS_PER_SLOT)) {
      return false;
    }
    if (demand.isEmpty() || candidate.engine().isEmpty() || candidate.use().calls() == 0) {
      return true;
    }
    long needed = demand.get().expectedMemoryTokens();
    boolean isShort = durations.estimateDecodeMs(demand.get()) <= SHORT_DECODE_MS;
    double share = isShort ? SHORT_OVERCOMMIT_RATIO : OVERCOMMIT_RATIO;
    long memory = candidate.engine().get().memoryTokens();
    return candidate.use().memoryTokens() + needed <= share * memory;
  }

  /** Estimates the delay of a run on a candidate and what its memory costs, in prefill tokens. */
  long estimateCostTokens(Candidate candidate, Optional<GenerationDemand> demand) {
    double delayMs = candidate.use().calls() * CALL_COST_MS;
    if (!candidate.sameZone()) {
      delayMs += CROSS_ZONE_COST_MS;
    }
    long cost =
        candidate.use().waitingPromptTokens()
            + Math.round(delayMs * durations.prefillTokensPerMs());
    long needed = demand.map(GenerationDemand::expectedMemoryTokens).orElse(0L);
    long memory = candidate.engine().map(EngineTraits::memoryTokens).orElse(Long.MAX_VALUE);
    double overflow = candidate.use().memoryTokens() + needed - PREFERRED_FILL_RATIO * memory;
    return cost + Math.max(0, Math.round(overflow * OVERFLOW_COST_FACTOR));
  }
}
