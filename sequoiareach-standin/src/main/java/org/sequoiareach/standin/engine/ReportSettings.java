package org.sequoiareach.standin.engine;

import org.sequoiareach.model.Check;

/**
 * Describes how late and how completely an engine tells of itself.
 *
 * @param loadLagMs the age of load reports, in milliseconds
 * @param cacheEventLagMs the delay of cache events, in milliseconds
 * @param cacheEventGapShare the share of cache events that are lost, from 0 to 1
 */
public record ReportSettings(long loadLagMs, long cacheEventLagMs, double cacheEventGapShare) {

  /** Load reports half a second old, and cache events as late with one in fifty lost. */
  public static final ReportSettings DEFAULT = new ReportSettings(500, 500, 0.02);

  /** Checks the parts. */
  public ReportSettings {
    Check.inRange(loadLagMs, 0, Integer.MAX_VALUE, "loadLagMs");
    Check.inRange(cacheEventLagMs, 0, Integer.MAX_VALUE, "cacheEventLagMs");
    Check.isTrue(
        cacheEventGapShare >= 0 && cacheEventGapShare <= 1,
        "'cacheEventGapShare' must be from 0 to 1.");
  }
}
