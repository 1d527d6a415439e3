package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * Describes one incarnation of a target.
 *
 * @param id the identity of the target
 * @param incarnation when this incarnation started, in Unix milliseconds; 0 where it is not told
 * @param service the service it belongs to
 * @param address its IP number and port
 * @param zone its availability zone
 * @param slots the requests that it processes at once
 * @param leaving whether it is about to stop
 */
public record RoutedTarget(
    String id,
    long incarnation,
    String service,
    String address,
    String zone,
    int slots,
    boolean leaving) {

  /** Checks the parts. */
  public RoutedTarget {
    Check.hasText(id, "id");
    Check.hasText(service, "service");
    Check.hasText(address, "address");
    Check.hasText(zone, "zone");
    Check.inRange(slots, 1, Integer.MAX_VALUE, "slots");
  }

  /**
   * Tells whether another description is of the same run of the same program.
   *
   * @param other the other description
   * @return true if identity and incarnation agree
   */
  public boolean isSameIncarnation(RoutedTarget other) {
    return id.equals(other.id) && incarnation == other.incarnation;
  }

  /**
   * Describes the same target as leaving.
   *
   * @return the copy
   */
  public RoutedTarget asLeaving() {
    return new RoutedTarget(id, incarnation, service, address, zone, slots, true);
  }
}
