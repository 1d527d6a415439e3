package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * Service with its share of a route's traffic.
 *
 * @param service the name of the service
 * @param weight the weight relative to the sum of the route's weights; 0 for no traffic
 */
public record WeightedService(String service, long weight) {

  /** Validates the components. */
  public WeightedService {
    Check.hasText(service, "service");
    Check.inRange(weight, 0, Integer.MAX_VALUE, "weight");
  }
}
