package org.sequoiareach.decision.placement;

import java.util.Arrays;

/**
 * Estimates the load on an engine that was not placed by this owner, from load reports that lag.
 *
 * <p>A report is compared with the maximum that this owner held within a sliding window of at least
 * 2 s, so that load which this owner released recently, or placed after the report was made, is not
 * attributed to others. Within the window the estimate may therefore be too low, but it is never
 * inflated by own load as long as reports lag by less than the window.
 */
final class ExternalUsageEstimator {

  private static final int SLOTS = 9;
  private static final long SLOT_MS = 250;

  private final long[] slotNumbers = new long[SLOTS];
  private final double[] slotMaxima = new double[SLOTS];
  private double latestOwn;
  private double external;

  ExternalUsageEstimator() {
    Arrays.fill(slotNumbers, Long.MIN_VALUE);
  }

  /** Records the load held by this owner from now on. */
  void recordOwnUsage(long nowMs, double own) {
    long number = Math.floorDiv(nowMs, SLOT_MS);
    int i = Math.floorMod(number, SLOTS);
    double before = slotNumbers[i] == number ? slotMaxima[i] : latestOwn;
    slotNumbers[i] = number;
    slotMaxima[i] = Math.max(before, own);
    latestOwn = own;
  }

  /** Updates the estimate from a report of the total load. */
  void recordReport(long nowMs, double reported) {
    long oldest = Math.floorDiv(nowMs, SLOT_MS) - SLOTS + 1;
    double maxOwn = latestOwn;
    for (int i = 0; i < SLOTS; i++) {
      maxOwn = slotNumbers[i] >= oldest ? Math.max(maxOwn, slotMaxima[i]) : maxOwn;
    }
    external = Math.max(0, reported - maxOwn);
  }

  /** Returns the load held by others, as of the last report. */
  double estimate() {
    return external;
  }
}
