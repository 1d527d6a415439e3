package org.sequoiareach.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import org.sequoiareach.daemon.front.ClientLimits;
import org.sequoiareach.decision.dispatch.DispatchSettings;
import org.sequoiareach.model.Check;

/**
 * Settings of a {@link Gateway}. Every address is an IPv4 address and a port.
 *
 * @param name the name of the daemon in logs
 * @param zone the availability zone of the daemon
 * @param callerAddress the address that accepts callers
 * @param readyAddress the address that serves the readiness check
 * @param peerAddress the address that accepts peers; also the identity of the daemon
 * @param metricsAddress the address that serves the metrics
 * @param seedAddresses peer addresses of other daemons that may be alive
 * @param storeAddress the address of the store
 * @param gracePeriodSeconds the time from a stop request to the forced end of the process
 * @param retryRatio the retry budget of all daemons together, as a ratio of retries to requests
 * @param retryWindowSeconds the time window over which requests and retries are counted
 * @param retryExtra the number of retries per window that all daemons together may send in addition
 *     to the ratio
 * @param sheetBoundMs the time within which a sheet in the store has to be in force, in
 *     milliseconds
 * @param leavingBoundMs the time within which a target that is leaving according to the store must
 *     get no more requests, in milliseconds
 * @param hedgeRatio the hedged requests that all daemons together may send to a service, as a ratio
 *     of its requests, between 0 and 1; 0 for none
 * @param clientLimits limits on what clients may hold, whatever the routing sheet says
 * @param lateBinding whether generations wait at the daemon, rather than at an engine, until an
 *     engine can begin them
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
    double retryExtra,
    double sheetBoundMs,
    double leavingBoundMs,
    double hedgeRatio,
    ClientLimits clientLimits,
    boolean lateBinding) {

  /**
   * The load balancer stops sending connections after two failed checks, which are a second apart,
   * and a caller takes up to a second to open a connection.
   */
  private static final long DRAIN_NOTICE_MS = 3_500;

  /** The part of the grace period reserved for closing connections and ending the process. */
  private static final long EXIT_RESERVE_MS = 400;

  private static final double MS_PER_SECOND = 1_000;

  /** Validates the components and copies the list. */
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
    Check.isTrue(retryRatio >= 0, "'retryRatio' must not be negative but is " + retryRatio + ".");
    Check.isTrue(retryExtra >= 0, "'retryExtra' must not be negative but is " + retryExtra + ".");
    requirePositive(sheetBoundMs, "sheetBoundMs");
    requirePositive(leavingBoundMs, "leavingBoundMs");
    Check.isTrue(
        hedgeRatio >= 0 && hedgeRatio <= 1,
        "'hedgeRatio' must be between 0 and 1 but is " + hedgeRatio + ".");
    Check.notNull(clientLimits, "clientLimits");
  }

  /**
   * Creates settings without hedged requests and late binding, and with the default limits for
   * clients.
   *
   * @param name the name of the daemon in logs
   * @param zone the availability zone of the daemon
   * @param callerAddress the address that accepts callers
   * @param readyAddress the address that serves the readiness check
   * @param peerAddress the address that accepts peers
   * @param metricsAddress the address that serves the metrics
   * @param seedAddresses peer addresses of other daemons
   * @param storeAddress the address of the store
   * @param gracePeriodSeconds the time from a stop request to the forced end of the process
   * @param retryRatio the retry budget as a ratio of retries to requests
   * @param retryWindowSeconds the time window of the retry budget
   * @param retryExtra the number of retries per window in addition to the ratio
   * @param sheetBoundMs the time within which a sheet has to be in force, in milliseconds
   * @param leavingBoundMs the time within which a leaving target gets no more requests, in
   *     milliseconds
   */
  public GatewaySettings(
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
      double retryExtra,
      double sheetBoundMs,
      double leavingBoundMs) {
    this(
        name,
        zone,
        callerAddress,
        readyAddress,
        peerAddress,
        metricsAddress,
        seedAddresses,
        storeAddress,
        gracePeriodSeconds,
        retryRatio,
        retryWindowSeconds,
        retryExtra,
        sheetBoundMs,
        leavingBoundMs,
        0,
        ClientLimits.DEFAULT,
        false);
  }

  /**
   * Converts these settings to those of the dispatch reducer.
   *
   * @param seed the seed of the random number generator
   * @return the dispatch settings
   */
  public DispatchSettings toDispatchSettings(long seed) {
    return new DispatchSettings(
        zone,
        seed,
        retryRatio,
        Math.round(retryWindowSeconds * MS_PER_SECOND),
        retryExtra,
        Math.min(DRAIN_NOTICE_MS, drainMs()),
        Math.round(Math.min(sheetBoundMs, leavingBoundMs)),
        hedgeRatio);
  }

  /**
   * Returns the time that a stopping daemon leaves to requests in progress.
   *
   * @return the drain timeout in milliseconds
   */
  public long drainMs() {
    return Math.max(0, Math.round(gracePeriodSeconds * MS_PER_SECOND) - EXIT_RESERVE_MS);
  }

  /**
   * Returns whether a daemon that runs with these settings can change to others at runtime.
   *
   * @param other the new settings
   * @return false if an address, the zone or a limit for clients differs, which requires a restart
   */
  public boolean canReloadTo(GatewaySettings other) {
    return zone.equals(other.zone)
        && lateBinding == other.lateBinding
        && callerAddress.equals(other.callerAddress)
        && readyAddress.equals(other.readyAddress)
        && peerAddress.equals(other.peerAddress)
        && metricsAddress.equals(other.metricsAddress)
        && storeAddress.equals(other.storeAddress)
        && clientLimits.equals(other.clientLimits);
  }

  /**
   * Converts an address from the settings to a socket address.
   *
   * @param address an IPv4 address and a port, separated by a colon
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
        "'" + name + "' must be an IPv4 address and a port but is '" + address + "'.");
  }

  private static void requirePositive(double value, String name) {
    Check.isTrue(value > 0, "'" + name + "' must be greater than 0 but is " + value + ".");
  }
}
