package org.sequoiareach.model.route;

import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * One incarnation of a target.
 *
 * @param id the identity of the target
 * @param incarnation the start time of this incarnation, in milliseconds since the Unix epoch; 0 if
 *     unknown
 * @param service the name of the service to which the target belongs
 * @param address the IP address and port
 * @param zone the availability zone
 * @param slots the maximum number of requests that it processes concurrently
 * @param leaving whether the target is about to stop
 * @param coldMs how long the target stays cold from the writing of this description on, in
 *     milliseconds; empty if not stated
 */
public record RoutedTarget(
    String id,
    long incarnation,
    String service,
    String address,
    String zone,
    int slots,
    boolean leaving,
    OptionalLong coldMs) {

  /** Validates the components; an earlier version of a daemon does not send the last one. */
  public RoutedTarget {
    Check.hasText(id, "id");
    Check.hasText(service, "service");
    Check.hasText(address, "address");
    Check.hasText(zone, "zone");
    Check.inRange(slots, 1, Integer.MAX_VALUE, "slots");
    coldMs = coldMs == null ? OptionalLong.empty() : coldMs;
  }

  /** Creates a description that does not state whether the target is cold. */
  public RoutedTarget(
      String id,
      long incarnation,
      String service,
      String address,
      String zone,
      int slots,
      boolean leaving) {
    this(id, incarnation, service, address, zone, slots, leaving, OptionalLong.empty());
  }

  /**
   * Checks whether another description refers to the same incarnation of the same target.
   *
   * @param other the other description
   * @return true if identity and incarnation are equal
   */
  public boolean isSameIncarnation(RoutedTarget other) {
    return id.equals(other.id) && incarnation == other.incarnation;
  }

  /**
   * Copies this description, marked as leaving.
   *
   * @return the copy
   */
  public RoutedTarget asLeaving() {
    return new RoutedTarget(id, incarnation, service, address, zone, slots, true, coldMs);
  }
}
