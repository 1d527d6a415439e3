package org.sequoiareach.decision.hedge;

import java.util.OptionalLong;

/** Decides how long a request waits for its first target before a second one is asked. */
public interface HedgeStrategy {

  /**
   * Returns the delay after which a second target is asked.
   *
   * @param nowMs the current time
   * @param answers the recent answer times of the service
   * @return the delay in milliseconds; empty if no second target is asked
   */
  OptionalLong delayMs(long nowMs, LatencyTracker answers);

  /**
   * Returns the strategy for a ratio of hedged requests.
   *
   * @param hedgeRatio the ratio of hedged requests to requests
   * @return the strategy, which asks no second target if the ratio is 0
   */
  static HedgeStrategy forRatio(double hedgeRatio) {
    return hedgeRatio > 0 ? QuantileHedging.forRatio(hedgeRatio) : new NoHedging();
  }
}
