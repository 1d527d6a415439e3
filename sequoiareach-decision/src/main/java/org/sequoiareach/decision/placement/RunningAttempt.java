package org.sequoiareach.decision.placement;

import org.sequoiareach.decision.length.LengthEstimator;
import org.sequoiareach.decision.length.RemainingLength;

/** Follows one attempt that runs on the target. */
final class RunningAttempt {

  private static final long MOST_EXTRAPOLATED_MS = 1_000;

  private final PendingAttempt attempt;
  private final LengthEstimator lengths;
  private final long startedMs;
  private long progressMs;
  private int tokens;
  private int toldTokens;

  RunningAttempt(PendingAttempt attempt, LengthEstimator lengths, long nowMs) {
    this.attempt = attempt;
    this.lengths = lengths;
    startedMs = nowMs;
    progressMs = nowMs;
  }

  long startedMs() {
    return startedMs;
  }

  /** Records progress; returns the mean time between the new tokens, or 0 where it is unknown. */
  double progress(long nowMs, int newTokens) {
    if (newTokens <= tokens) {
      return 0;
    }
    // The time to the first token holds the waiting and the prefill.
    final double gapMs = tokens == 0 ? 0 : (double) (nowMs - progressMs) / (newTokens - tokens);
    tokens = newTokens;
    progressMs = nowMs;
    lengths.outlived(nowMs, toldTokens, tokens);
    toldTokens = tokens;
    return gapMs;
  }

  /** Tells the statistics of the end, unless the answer was cut short or cancelled. */
  void end(long nowMs, int finalTokens) {
    if (finalTokens < 0) {
      return;
    }
    if (finalTokens >= maxTokens()) {
      lengths.outlived(nowMs, toldTokens, finalTokens);
      return;
    }
    lengths.ended(nowMs, toldTokens, finalTokens);
  }

  /** Returns the tokens out by now, extrapolated for a short while from the last progress. */
  int tokensAt(long nowMs, double tokensPerMs) {
    if (tokens == 0) {
      return 0;
    }
    long since = Math.min(MOST_EXTRAPOLATED_MS, nowMs - progressMs);
    return (int) Math.min(maxTokens(), tokens + since * tokensPerMs);
  }

  /** Returns the memory held by now, in tokens. */
  double contextAt(long nowMs, double tokensPerMs) {
    return (double) attempt.spec().promptTokens() + tokensAt(nowMs, tokensPerMs);
  }

  RemainingLength remaining(long nowMs, double tokensPerMs) {
    return lengths.distribution(nowMs).remaining(tokensAt(nowMs, tokensPerMs), maxTokens());
  }

  int maxTokens() {
    return attempt.spec().maxTokens();
  }
}
