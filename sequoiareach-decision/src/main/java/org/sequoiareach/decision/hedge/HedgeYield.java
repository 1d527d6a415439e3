package org.sequoiareach.decision.hedge;

/**
 * Tracks how often hedged attempts win, so that hedging pauses where they do not. Not thread-safe.
 */
final class HedgeYield {

  /** The weight that an outcome keeps when another one follows. */
  private static final double MEMORY = 0.95;

  /** The sum of weights below which nothing is concluded. */
  private static final double MIN_WEIGHT = 6;

  /** The share of wins below which the extra work is not worthwhile. */
  private static final double MIN_WIN_SHARE = 0.2;

  /** The interval of single attempts that find out whether hedging has become worthwhile. */
  private static final long TRIAL_INTERVAL_MS = 4_000;

  private double outcomes;
  private double wins;
  private long lastSentMs = Long.MIN_VALUE / 2;

  void recordSent(long nowMs) {
    lastSentMs = nowMs;
  }

  void recordOutcome(boolean won) {
    outcomes = outcomes * MEMORY + 1;
    wins = wins * MEMORY + (won ? 1 : 0);
  }

  /** Returns whether a hedged attempt is worthwhile, or due as a trial. */
  boolean isWorthwhile(long nowMs) {
    boolean paused = outcomes >= MIN_WEIGHT && wins < MIN_WIN_SHARE * outcomes;
    return !paused || nowMs - lastSentMs >= TRIAL_INTERVAL_MS;
  }
}
