package org.sequoiareach.decision.hedge;

import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * Asks a second target once an answer takes longer than a quantile of the recent ones.
 *
 * @param quantile the quantile, between 0 and 1
 */
public record QuantileHedging(double quantile) implements HedgeStrategy {

  /** Below the median a second target would be asked before the usual answer can arrive. */
  private static final double MIN_QUANTILE = 0.5;

  /** A later quantile rests on too few answers of the tracker's memory. */
  private static final double MAX_QUANTILE = 0.98;

  /** Validates the component. */
  public QuantileHedging {
    Check.isTrue(
        quantile > 0 && quantile < 1,
        "'quantile' must be between 0 and 1 but is " + quantile + ".");
  }

  /** Creates the strategy that hedges about the given ratio of requests. */
  static QuantileHedging forRatio(double hedgeRatio) {
    return new QuantileHedging(Math.min(MAX_QUANTILE, Math.max(MIN_QUANTILE, 1 - hedgeRatio)));
  }

  @Override
  public OptionalLong delayMs(long nowMs, LatencyTracker answers) {
    return answers.quantileMs(nowMs, quantile);
  }
}
