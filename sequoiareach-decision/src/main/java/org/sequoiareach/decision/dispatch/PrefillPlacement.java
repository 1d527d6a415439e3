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
  private static final long SHORT_DECODE_MS = 1_800;

  private final RunDurationEstimator durations;

  /** Creates a strategy for a service whose engines have the observed durations. */
  PrefillPlacement(RunDurationEstimator durations) {
    this.durations = durations;
  }

  @Override
  public Optional<Candidate> choose(
      Optional<GenerationDemand> demand, List<Candidate> candidates, long draw) {
    Comparator<Candidate> order =
        Comparator.comparingLong((Candidate candidate) -> estimateCostTokens(candidate, demand))
            .thenComparingLong(candidate -> candidate.target().id().hashCode() ^ draw);
    return candidates.stream().filter(candidate -> hasCapacity(candidate, demand)).min(order);
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

  private long estimateCostTokens(Candidate candidate, Optional<GenerationDemand> demand) {
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
