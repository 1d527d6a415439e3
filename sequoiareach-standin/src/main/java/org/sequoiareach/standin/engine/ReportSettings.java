package org.sequoiareach.standin.engine;

import org.sequoiareach.model.Check;

/**
 * Configures the lag and loss of the load reports and cache events of an engine.
 *
 * @param loadLagMs the lag of load reports in milliseconds
 * @param cacheEventLagMs the lag of cache events in milliseconds
 * @param cacheEventGapShare the fraction of cache events that are lost, from 0 to 1
 */
public record ReportSettings(long loadLagMs, long cacheEventLagMs, double cacheEventGapShare) {

  /** The default: a lag of 500 ms, and 2 % of the cache events lost. */
  public static final ReportSettings DEFAULT = new ReportSettings(500, 500, 0.02);

  /** Validates the settings. */
  public ReportSettings {
    Check.inRange(loadLagMs, 0, Integer.MAX_VALUE, "loadLagMs");
    Check.inRange(cacheEventLagMs, 0, Integer.MAX_VALUE, "cacheEventLagMs");
    Check.isTrue(
        cacheEventGapShare >= 0 && cacheEventGapShare <= 1,
        "'cacheEventGapShare' must be from 0 to 1.");
  }
}
