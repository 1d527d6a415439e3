package org.sequoiareach.load.run;

import java.util.Arrays;
import java.util.Optional;
import org.sequoiareach.load.check.Timings;

/** Records when the tokens of one answer come. Not thread-safe. */
final class TimingRecorder {

  private static final int FIRST_CAPACITY = 64;

  private final long scheduledNs;

  private long[] gaps = new long[FIRST_CAPACITY];
  private int count;
  private long firstNs;
  private long lastNs;
  private boolean started;
  private boolean paused;

  /**
   * Creates a recorder.
   *
   * @param scheduledNs the scheduled arrival on the clock of the tokens
   */
  TimingRecorder(long scheduledNs) {
    this.scheduledNs = scheduledNs;
  }

  void onToken(long nowNs) {
    if (!started) {
      started = true;
      firstNs = nowNs;
    } else if (!paused) {
      addGap(nowNs - lastNs);
    }
    paused = false;
    lastNs = nowNs;
  }

  /** Leaves out the gap that the caller itself causes by dropping its connection. */
  void pause() {
    paused = true;
  }

  /** Counts the time since the last token as a gap, for a stream that was given up on. */
  void onGivenUp(long nowNs) {
    if (started && !paused) {
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
