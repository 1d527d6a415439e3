package org.sequoiareach.decision.placement;

/**
 * Computes the priority passed to an engine, which stays fixed for the life of a generation.
 *
 * <p>An engine whose memory is full preempts the generation with the greatest number and, among
 * equals, the most recent one. The priority of the organisation therefore dominates. Within it, the
 * best victim is the generation that loses the least work and is not close to its end. That changes
 * over time whereas the number cannot, so the expected length stands in for it: a short answer is
 * close to its end at almost any moment and releases little memory, hence it gets the smaller
 * number. Among answers of similar length the engine preempts the most recent one, which has the
 * least work to lose.
 */
final class EnginePriority {

  private static final int LEVELS_PER_ORGANISATION_PRIORITY = 100;

  private EnginePriority() {}

  /** Combines the priority of the organisation with the binary logarithm of the expected tokens. */
  static int of(int organisationPriority, double expectedTokens) {
    int lengthLog2 = 31 - Integer.numberOfLeadingZeros((int) Math.max(1, expectedTokens));
    return organisationPriority * LEVELS_PER_ORGANISATION_PRIORITY + lengthLog2;
  }
}
