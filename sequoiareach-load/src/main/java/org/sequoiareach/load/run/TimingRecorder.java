package org.sequoiareach.load.run;

import java.util.Arrays;
import java.util.Optional;
import org.sequoiareach.load.check.Timings;

/** Records the token timings of an answer. Not thread-safe. */
final class TimingRecorder {

  private static final int INITIAL_CAPACITY = 64;

  private final long scheduledNs;

  private long[] gaps = new long[INITIAL_CAPACITY];
  private int count;
  private long firstNs;
  private long lastNs;
  private boolean started;
  private boolean skipGap;

  /**
   * Creates a recorder.
   *
   * @param scheduledNs the scheduled arrival in nanoseconds, on the same clock as the tokens
   */
  TimingRecorder(long scheduledNs) {
    this.scheduledNs = scheduledNs;
  }

  void onToken(long nowNs) {
    if (!started) {
      started = true;
      firstNs = nowNs;
    } else if (!skipGap) {
      addGap(nowNs - lastNs);
    }
    skipGap = false;
    lastNs = nowNs;
  }

  /** Excludes the next gap, which the client causes by dropping or resuming its connection. */
  void skipNextGap() {
    skipGap = true;
  }

  /** Counts the time since the last token as a gap when the client aborts the stream. */
  void onAbort(long nowNs) {
    if (started && !skipGap) {
      addGap(nowNs - lastNs);
    }
  }

  Timings finish(long nowNs) {
    Optional<Long> first = started ? Optional.of(firstNs - scheduledNs) : Optional.empty();
    return new Timings(first, Arrays.copyOf(gaps, count), nowNs - scheduledNs);
  }

  private void addGap(long gapNs) {
    if (count == gaps.length) {
      gaps = Arrays.copyOf(gaps, count * 2);
    }
    gaps[count++] = gapNs;
  }
}
