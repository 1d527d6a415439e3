package org.sequoiareach.decision.hedge;

import java.util.OptionalLong;

/** Never asks a second target. */
public final class NoHedging implements HedgeStrategy {

  @Override
  public OptionalLong delayMs(long nowMs, LatencyTracker answers) {
    return OptionalLong.empty();
  }
}
