package org.sequoiareach.client.settings;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Settings of the client.
 *
 * @param keyValueService the addresses of the platform's key-value service
 * @param daemons the operator addresses of the daemons; empty if absent
 * @param callTimeoutMs the timeout of a whole command in milliseconds; 10,000 if absent
 */
public record ClientSettings(
    Addresses keyValueService, List<DaemonAddress> daemons, Long callTimeoutMs) {

  private static final long DEFAULT_CALL_TIMEOUT_MS = 10_000;

  /** Validates the components and applies defaults. */
  public ClientSettings {
    Check.notNull(keyValueService, "keyValueService");
    daemons = daemons == null ? List.of() : List.copyOf(daemons);
    callTimeoutMs = callTimeoutMs == null ? DEFAULT_CALL_TIMEOUT_MS : callTimeoutMs;
  }

  /**
   * The addresses of a service.
   *
   * @param addresses IP addresses with ports, at least one
   */
  public record Addresses(List<String> addresses) {

    /** Copies the components. */
    public Addresses {
      addresses = List.copyOf(addresses);
    }
  }

  /**
   * The operator address of a daemon.
   *
   * @param id the daemon id
   * @param operators the IP address and port that the daemon serves operators on
   */
  public record DaemonAddress(String id, String operators) {}
}
