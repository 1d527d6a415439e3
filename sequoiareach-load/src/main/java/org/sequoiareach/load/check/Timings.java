package org.sequoiareach.load.check;

import java.util.Arrays;
import java.util.Optional;

/**
 * Holds when the parts of one answer came, counted from the scheduled arrival of the request.
 *
 * <p>A gap that ends in the request's deadline rather than in a token counts as well: a stream that
 * hangs must not look better than one that is slow.
 *
 * @param firstTokenNs the time to the first token; empty where none came or the answer was whole
 * @param gapsNs the times between tokens
 * @param endNs the time to the end of the answer
 */
public record Timings(Optional<Long> firstTokenNs, long[] gapsNs, long endNs) {

  /**
   * Adds up what the gaps exceed a threshold by.
   *
   * @param thresholdNs the gap that still counts as smooth
   * @return the stall time
   */
  public long stallNs(long thresholdNs) {
    return Arrays.stream(gapsNs).map(gap -> Math.max(0, gap - thresholdNs)).sum();
  }
}
