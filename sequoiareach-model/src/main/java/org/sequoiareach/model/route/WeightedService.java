package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * Is one part of a route's traffic split.
 *
 * @param service the service that gets the part
 * @param weight its share against the sum of all weights; 0 sends nothing there
 */
public record WeightedService(String service, long weight) {

  /** Checks the parts. */
  public WeightedService {
    Check.hasText(service, "service");
    Check.inRange(weight, 0, Integer.MAX_VALUE, "weight");
  }
}
