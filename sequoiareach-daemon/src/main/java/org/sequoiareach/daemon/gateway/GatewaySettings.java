package org.sequoiareach.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import org.sequoiareach.decision.dispatch.DispatchSettings;
import org.sequoiareach.model.Check;

/**
 * Holds the settings of a daemon that routes by a routing sheet.
 *
 * @param name the daemon's name in logs
 * @param zone its availability zone
 * @param callerAddress the IP number and port at which it takes callers
 * @param readyAddress the IP number and port at which it tells whether it takes callers
 * @param peerAddress the IP number and port at which it takes other daemons; also its identity
 * @param metricsAddress the IP number and port at which it shows metrics
 * @param seedAddresses addresses of other daemons that may be alive
 * @param storeAddress the IP number and port of the store
 * @param gracePeriodSeconds the time that a stopping daemon is given
 * @param retryRatio the repeats that all daemons may send, as a share of the requests
 * @param retryWindowSeconds the time over which requests and repeats are counted
 * @param retryExtra the repeats that all daemons may send in that time beyond the share
 */
public record GatewaySettings(
    String name,
    String zone,
    String callerAddress,
    String readyAddress,
    String peerAddress,
    String metricsAddress,
    List<String> seedAddresses,
    String storeAddress,
    double gracePeriodSeconds,
    double retryRatio,
    double retryWindowSeconds,
    double retryExtra) {

  /**
   * Two checks of the balancer, a second apart, must fail before it sends no more connections, and
   * a caller takes up to a second to open one.
   */
  private static final long DRAIN_NOTICE_MS = 3_500;

  /** What is left of the grace period for closing connections and for the end of the process. */
  private static final long EXIT_MS = 400;

  private static final double MS_PER_SECOND = 1_000;

  /** Checks and copies the parts. */
  public GatewaySettings {
    Check.hasText(name, "name");
    Check.hasText(zone, "zone");
    requireAddress(callerAddress, "callerAddress");
    requireAddress(readyAddress, "readyAddress");
    requireAddress(peerAddress, "peerAddress");
    requireAddress(metricsAddress, "metricsAddress");
    requireAddress(storeAddress, "storeAddress");
    seedAddresses = seedAddresses == null ? List.of() : List.copyOf(seedAddresses);
    seedAddresses.forEach(seed -> requireAddress(seed, "seedAddresses"));
    requirePositive(gracePeriodSeconds, "gracePeriodSeconds");
    requirePositive(retryWindowSeconds, "retryWindowSeconds");
    Check.isTrue(retryRatio >= 0, "'retryRatio' is " + retryRatio + " and must not be negative.");
    Check.isTrue(retryExtra >= 0, "'retryExtra' is " + retryExtra + " and must not be negative.");
  }

  /**
   * Returns the settings of the decisions.
   *
   * @param seed the seed of random choices
   * @return the settings
   */
  public DispatchSettings dispatch(long seed) {
    return new DispatchSettings(
        zone,
        seed,
        retryRatio,
        Math.round(retryWindowSeconds * MS_PER_SECOND),
        retryExtra,
        Math.min(DRAIN_NOTICE_MS, drainMs()));
  }

  /**
   * Returns how long requests in progress may take when the daemon stops.
   *
   * @return milliseconds
   */
  public long drainMs() {
    return Math.max(0, Math.round(gracePeriodSeconds * MS_PER_SECOND) - EXIT_MS);
  }

  /**
   * Tells whether a daemon that runs with these settings can take over others.
   *
   * @param other the other settings
   * @return false if an address or the zone differs
   */
  public boolean canTakeOver(GatewaySettings other) {
    return zone.equals(other.zone)
        && callerAddress.equals(other.callerAddress)
        && readyAddress.equals(other.readyAddress)
        && peerAddress.equals(other.peerAddress)
        && metricsAddress.equals(other.metricsAddress)
        && storeAddress.equals(other.storeAddress);
  }

  /**
   * Resolves an address.
   *
   * @param address an IP number and a port
   * @return the socket address
   */
  public static InetSocketAddress resolve(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private static void requireAddress(String address, String name) {
    Check.isTrue(
        address != null && address.matches("[0-9.]+:[0-9]{1,5}"),
        "'" + name + "' is '" + address + "' and must be an IP number and a port.");
  }

  private static void requirePositive(double value, String name) {
    Check.isTrue(value > 0, "'" + name + "' is " + value + " and must be above 0.");
  }
}
