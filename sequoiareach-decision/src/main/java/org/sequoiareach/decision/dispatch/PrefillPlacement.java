package org.sequoiareach.decision.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
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

  /** The delay that a call adds to each step, as the equivalent number of prefill tokens. */
  private static final long CALL_COST_TOKENS = 60;

  /** The latency of another availability zone, as the equivalent number of prefill tokens. */
  private static final long CROSS_ZONE_COST_TOKENS = 40;

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

  /** The maximum output of a short generation, which ends within two seconds at 7 ms per token. */
  private static final long SHORT_OUTPUT_TOKENS = 256;

  @Override
  public Optional<Candidate> choose(
      Optional<GenerationDemand> demand, List<Candidate> candidates, long draw) {
    Comparator<Candidate> order =
        Comparator.comparingLong((Candidate candidate) -> estimateCostTokens(candidate, demand))
            .thenComparingLong(candidate -> candidate.target().id().hashCode() ^ draw);
    return candidates.stream().filter(candidate -> hasCapacity(candidate, demand)).min(order);
  }

  private static boolean hasCapacity(Candidate candidate, Optional<GenerationDemand> demand) {
    if (candidate.use().calls() >= candidate.target().slots() * (1 + QUEUED_CALLS_PER_SLOT)) {
      return false;
    }
    if (demand.isEmpty() || candidate.engine().isEmpty() || candidate.use().calls() == 0) {
      return true;
    }
    long needed = demand.get().expectedMemoryTokens();
    boolean isShort = demand.get().estimatedOutputTokens() <= SHORT_OUTPUT_TOKENS;
    double share = isShort ? SHORT_OVERCOMMIT_RATIO : OVERCOMMIT_RATIO;
    long memory = candidate.engine().get().memoryTokens();
    return candidate.use().memoryTokens() + needed <= share * memory;
  }

  private static long estimateCostTokens(Candidate candidate, Optional<GenerationDemand> demand) {
    long cost = candidate.use().waitingPromptTokens() + candidate.use().calls() * CALL_COST_TOKENS;
    if (!candidate.sameZone()) {
      cost += CROSS_ZONE_COST_TOKENS;
    }
    long needed = demand.map(GenerationDemand::expectedMemoryTokens).orElse(0L);
    long memory = candidate.engine().map(EngineTraits::memoryTokens).orElse(Long.MAX_VALUE);
    double overflow = candidate.use().memoryTokens() + needed - PREFERRED_FILL_RATIO * memory;
    return cost + Math.max(0, Math.round(overflow * OVERFLOW_COST_FACTOR));
  }
}
