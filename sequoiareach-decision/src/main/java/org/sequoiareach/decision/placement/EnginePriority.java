package org.sequoiareach.decision.placement;

/**
 * Computes the priority given to an engine, which holds for the life of a generation.
 *
 * <p>An engine whose memory is full pushes out the generation with the greatest number, and among
 * equals the latest. The organisation's priority goes first. Within it, what would be best changes
 * with time while the number cannot: the least work lost, and none that nears its end. What is
 * known at the start is the expected length: a short answer is near its end at almost any moment
 * and frees little, so it gets the smaller number; among answers of like length the latest, which
 * has the least work to lose, goes first.
 */
final class EnginePriority {

  private static final int SCALE = 100;

  private EnginePriority() {}

  static int of(int organisationPriority, double expectedTokens) {
    int octave = 31 - Integer.numberOfLeadingZeros((int) Math.max(1, expectedTokens));
    return organisationPriority * SCALE + octave;
  }
}
