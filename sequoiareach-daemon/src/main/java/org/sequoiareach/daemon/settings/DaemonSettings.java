package org.sequoiareach.daemon.settings;

import java.util.List;
import java.util.Optional;

/**
 * The settings of a daemon. Immutable.
 *
 * @param daemonId the ID of the daemon, unique among all daemons
 * @param zone its availability zone
 * @param callers the listener and limits for callers
 * @param operators the listener for operators
 * @param peers the listener for other daemons
 * @param keyValueService the addresses of the key-value service
 * @param vmList the address of the platform's VM list
 * @param policy the routing and admission policy
 * @param drainDeadlineMs the maximum time that a stopping daemon waits for requests in progress, in
 *     milliseconds
 * @param seed the seed of random choices; empty to derive it from the start time
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

  /** The default of {@link #drainDeadlineMs()}, in milliseconds. */
  public static final long DEFAULT_DRAIN_DEADLINE_MS = 600_000;

  /** Replaces missing values by their defaults. */
  public DaemonSettings {
    callers = callers == null ? new CallerSettings(null, 0, 0, 0) : callers;
    policy = policy == null ? new PolicySettings(null) : policy;
    drainDeadlineMs = drainDeadlineMs == 0 ? DEFAULT_DRAIN_DEADLINE_MS : drainDeadlineMs;
    seed = seed == null ? Optional.empty() : seed;
  }

  /**
   * The settings of a listener.
   *
   * @param address the IP address and port to listen on; port 0 selects a free port
   */
  public record ListenerSettings(String address) {}

  /**
   * The settings of the listener for callers, and its limits.
   *
   * @param address the IP address and port to listen on
   * @param bodyBytes the maximum size of a request body, in bytes
   * @param headerBytes the maximum total size of the headers of a request, in bytes
   * @param requestDeadlineMs the maximum duration of a request, in milliseconds
   */
  public record CallerSettings(
      String address, int bodyBytes, int headerBytes, long requestDeadlineMs) {

    private static final int DEFAULT_BODY_BYTES = 4 << 20;
    private static final int DEFAULT_HEADER_BYTES = 16 << 10;
    private static final long DEFAULT_REQUEST_DEADLINE_MS = 600_000;

    /** Replaces missing values by their defaults. */
    public CallerSettings {
      bodyBytes = bodyBytes == 0 ? DEFAULT_BODY_BYTES : bodyBytes;
      headerBytes = headerBytes == 0 ? DEFAULT_HEADER_BYTES : headerBytes;
      requestDeadlineMs = requestDeadlineMs == 0 ? DEFAULT_REQUEST_DEADLINE_MS : requestDeadlineMs;
    }
  }

  /**
   * The settings of the connection to the key-value service.
   *
   * @param addresses the addresses of the service, tried in order
   */
  public record KeyValueSettings(List<String> addresses) {}

  /**
   * The settings of the connection to the VM list.
   *
   * @param address the address of the VM list
   */
  public record VmListSettings(String address) {}

  /**
   * The settings of the routing and admission policy.
   *
   * @param name one of {@code expected-memory}, {@code max-length-reservation}, {@code
   *     least-outstanding} and {@code round-robin}
   */
  public record PolicySettings(String name) {

    private static final String DEFAULT_NAME = "expected-memory";

    /** Replaces a missing name by the default. */
    public PolicySettings {
      name = name == null ? DEFAULT_NAME : name;
    }
  }
}
