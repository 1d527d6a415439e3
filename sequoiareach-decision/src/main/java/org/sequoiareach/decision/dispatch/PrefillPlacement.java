package org.sequoiareach.decision.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.route.EngineTraits;

/**
 * Takes the engine whose first event is expected soonest, as long as its memory is expected to hold
 * the request to its end.
 *
 * <p>Answers long prompts on engines that read them one after the other: two prompts on one engine
 * delay the second by the whole reading of the first, while an idle engine stands beside it. Where
 * few engines are left, it takes no more than their memory holds: a further run would preempt
 * others, and leave no room for runs that have to be moved.
 */
final class PrefillPlacement implements PlacementStrategy {

  /** Each running request slows a step by about as much as reading this many tokens takes. */
  private static final long TOKENS_PER_RUN = 60;

  /** Crossing availability zones costs about as much as reading this many tokens. */
  private static final long TOKENS_PER_ZONE_CROSSING = 40;

  /** The part of an engine's memory that expected lengths may fill; the rest is for their error. */
  private static final double FILLED_SHARE = 0.9;

  /** Each token beyond that part weighs as much as reading this many tokens of a prompt. */
  private static final long OVERFLOW_WEIGHT = 4;

  /** Requests that may wait at an engine for each of its slots. */
  private static final double WAITING_PER_SLOT = 0.5;

  /**
   * The share of an engine's memory that expected lengths may promise. Runs end before all have
   * grown to their length; beyond this share engines preempt runs and read their prompts anew.
   */
  private static final double PROMISED_SHARE = 1.2;

  /** The same for short generations, which leave before the others have grown. */
  private static final double PROMISED_SHARE_SHORT = 1.5;

  /** A generation of at most so many tokens ends within two seconds at seven milliseconds each. */
  private static final long SHORT_OUTPUT_TOKENS = 256;

  @Override
  public Optional<Candidate> choose(
      Optional<GenerationDemand> demand, List<Candidate> candidates, long draw) {
    Comparator<Candidate> order =
        Comparator.comparingLong((Candidate candidate) -> costOf(candidate, demand))
            .thenComparingLong(candidate -> candidate.target().id().hashCode() ^ draw);
    return candidates.stream().filter(candidate -> hasRoom(candidate, demand)).min(order);
  }

  private static boolean hasRoom(Candidate candidate, Optional<GenerationDemand> demand) {
    if (candidate.use().calls() >= candidate.target().slots() * (1 + WAITING_PER_SLOT)) {
      return false;
    }
    if (demand.isEmpty() || candidate.engine().isEmpty() || candidate.use().calls() == 0) {
      return true;
    }
    long needed = demand.get().expectedMemoryTokens();
    boolean isShort = demand.get().likelyOutputTokens() <= SHORT_OUTPUT_TOKENS;
    double share = isShort ? PROMISED_SHARE_SHORT : PROMISED_SHARE;
    long memory = candidate.engine().get().memoryTokens();
    return candidate.use().memoryTokens() + needed <= share * memory;
  }

  private static long costOf(Candidate candidate, Optional<GenerationDemand> demand) {
    long cost = candidate.use().waitingPromptTokens() + candidate.use().calls() * TOKENS_PER_RUN;
    if (!candidate.sameZone()) {
      cost += TOKENS_PER_ZONE_CROSSING;
    }
    long needed = demand.map(GenerationDemand::expectedMemoryTokens).orElse(0L);
    long memory = candidate.engine().map(EngineTraits::memoryTokens).orElse(Long.MAX_VALUE);
    double overflow = candidate.use().memoryTokens() + needed - FILLED_SHARE * memory;
    return cost + Math.max(0, Math.round(overflow * OVERFLOW_WEIGHT));
  }
}
