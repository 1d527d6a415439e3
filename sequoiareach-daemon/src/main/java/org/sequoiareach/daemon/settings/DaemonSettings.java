package org.sequoiareach.daemon.settings;

import java.util.List;
import java.util.Optional;

/**
 * Holds the settings of a daemon. Immutable.
 *
 * @param daemonId the identity of this daemon, unique among daemons
 * @param zone its availability zone
 * @param callers the listener and limits for callers
 * @param operators the listener for operators
 * @param peers the listener for other daemons
 * @param keyValueService the addresses of the key-value service
 * @param vmList the address of the platform's list of VMs
 * @param policy the routing and admission policy
 * @param drainDeadlineMs how long a stopping daemon waits for requests in progress, in milliseconds
 * @param seed the seed of random choices; absent for one drawn at the start
 */
public record DaemonSettings(
    String daemonId,
    String zone,
    CallerSettings callers,
    ListenerSettings operators,
    ListenerSettings peers,
    KeyValueSettings keyValueService,
    VmListSettings vmList,
    PolicySettings policy,
    long drainDeadlineMs,
    Optional<Long> seed) {

  /** How long a stopping daemon waits where the settings do not say, in milliseconds. */
  public static final long DEFAULT_DRAIN_DEADLINE_MS = 600_000;

  /** Fills in defaults. */
  public DaemonSettings {
    callers = callers == null ? new CallerSettings(null, 0, 0, 0) : callers;
    policy = policy == null ? new PolicySettings(null) : policy;
    drainDeadlineMs = drainDeadlineMs == 0 ? DEFAULT_DRAIN_DEADLINE_MS : drainDeadlineMs;
    seed = seed == null ? Optional.empty() : seed;
  }

  /**
   * Holds a listener.
   *
   * @param address the IP number and port to listen on; port 0 picks a free one
   */
  public record ListenerSettings(String address) {}

  /**
   * Holds the listener and limits for callers.
   *
   * @param address the IP number and port to listen on
   * @param bodyBytes the most bytes of a request body
   * @param headerBytes the most bytes of a request's headers
   * @param requestDeadlineMs the longest time a request may take, in milliseconds
   */
  public record CallerSettings(
      String address, int bodyBytes, int headerBytes, long requestDeadlineMs) {

    private static final int DEFAULT_BODY_BYTES = 4 << 20;
    private static final int DEFAULT_HEADER_BYTES = 16 << 10;
    private static final long DEFAULT_REQUEST_DEADLINE_MS = 600_000;

    /** Fills in defaults. */
    public CallerSettings {
      bodyBytes = bodyBytes == 0 ? DEFAULT_BODY_BYTES : bodyBytes;
      headerBytes = headerBytes == 0 ? DEFAULT_HEADER_BYTES : headerBytes;
      requestDeadlineMs = requestDeadlineMs == 0 ? DEFAULT_REQUEST_DEADLINE_MS : requestDeadlineMs;
    }
  }

  /**
   * Holds how the key-value service is reached.
   *
   * @param addresses its addresses, each tried in turn
   */
  public record KeyValueSettings(List<String> addresses) {}

  /**
   * Holds how the list of VMs is reached.
   *
   * @param address its address
   */
  public record VmListSettings(String address) {}

  /**
   * Names the policy.
   *
   * @param name one of {@code expected-memory}, {@code max-length-reservation}, {@code
   *     least-outstanding} and {@code round-robin}
   */
  public record PolicySettings(String name) {

    private static final String DEFAULT_NAME = "expected-memory";

    /** Fills in the default. */
    public PolicySettings {
      name = name == null ? DEFAULT_NAME : name;
    }
  }
}
