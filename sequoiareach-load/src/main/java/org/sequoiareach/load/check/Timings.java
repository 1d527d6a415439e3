package org.sequoiareach.load.check;

import java.util.Arrays;
import java.util.Optional;

/**
 * The timings of a response, relative to the scheduled arrival of the request.
 *
 * <p>The gap between the last token and the deadline counts as well; otherwise a hanging stream
 * would look better than a slow one.
 *
 * @param firstTokenNs the time to the first token in nanoseconds; empty if none was received or the
 *     response was not streamed
 * @param gapsNs the gaps between tokens in nanoseconds
 * @param endNs the time to the end of the response in nanoseconds
 */
public record Timings(Optional<Long> firstTokenNs, long[] gapsNs, long endNs) {

  /**
   * Returns the stall time: the sum of the excess of each gap over a threshold.
   *
   * @param thresholdNs the largest gap in nanoseconds that is not a stall
   * @return the stall time in nanoseconds
   */
  public long stallNs(long thresholdNs) {
    return Arrays.stream(gapsNs).map(gap -> Math.max(0, gap - thresholdNs)).sum();
  }
}
