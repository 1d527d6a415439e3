package org.sequoiareach.decision.placement;

import java.util.Arrays;

/**
 * Infers what others hold on an engine from a load report that lags.
 *
 * <p>A report is compared with the most that this owner held at any time within the lag, so that
 * what it has just freed, or has placed after the report was made, is not taken for others' use.
 * Others' use is thus read low for as long as the lag, and not invented.
 */
final class OthersUse {

  private static final int SLICES = 9;
  private static final long SLICE_MS = 250;

  private final long[] sliceNumbers = new long[SLICES];
  private final double[] mostInSlice = new double[SLICES];
  private double latestOwn;
  private double others;

  OthersUse() {
    Arrays.fill(sliceNumbers, Long.MIN_VALUE);
  }

  /** Notes how much this owner holds from now on. */
  void noteOwn(long nowMs, double own) {
    long number = Math.floorDiv(nowMs, SLICE_MS);
    int i = Math.floorMod(number, SLICES);
    double before = sliceNumbers[i] == number ? mostInSlice[i] : latestOwn;
    sliceNumbers[i] = number;
    mostInSlice[i] = Math.max(before, own);
    latestOwn = own;
  }

  /** Takes in a report of how much is held in all. */
  void noteReport(long nowMs, double reported) {
    long oldest = Math.floorDiv(nowMs, SLICE_MS) - SLICES + 1;
    double mostOwn = latestOwn;
    for (int i = 0; i < SLICES; i++) {
      mostOwn = sliceNumbers[i] >= oldest ? Math.max(mostOwn, mostInSlice[i]) : mostOwn;
    }
    others = Math.max(0, reported - mostOwn);
  }

  /** Returns how much others hold. */
  double others() {
    return others;
  }
}
