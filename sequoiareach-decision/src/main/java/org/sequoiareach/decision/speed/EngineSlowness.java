package org.sequoiareach.decision.speed;

/**
 * How slow an engine is. A ratio of 1 is the time that is expected at the load there.
 *
 * @param decode the ratio of observed to expected time of a decode step
 * @param prefill the ratio of observed to expected time of a prefill
 * @param relative the ratio of its decode time to that of the service's engines on average
 */
public record EngineSlowness(double decode, double prefill, double relative) {

  /** The slowness of an engine that nothing is known of. */
  public static final EngineSlowness UNKNOWN = new EngineSlowness(1, 1, 1);

  /** Smaller differences are taken for errors of estimation: no engine is avoided for them. */
  private static final double MIN_SLOW_RATIO = 1.25;

  /**
   * Returns whether the engine is known to be slower than the others.
   *
   * @return true if it is clearly slower than the average engine of its service
   */
  public boolean isSlow() {
    return relative >= MIN_SLOW_RATIO;
  }
}
