package org.sequoiareach.client.settings;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Holds the client's settings.
 *
 * @param keyValueService where the platform's key-value service is
 * @param daemons the daemons' operators' ports
 * @param callTimeoutMs how long a command may take, in milliseconds
 */
public record ClientSettings(
    Addresses keyValueService, List<DaemonAddress> daemons, Long callTimeoutMs) {

  private static final long DEFAULT_CALL_TIMEOUT_MS = 10_000;

  /** Checks the parts and fills in what is absent. */
  public ClientSettings {
    Check.notNull(keyValueService, "keyValueService");
    daemons = daemons == null ? List.of() : List.copyOf(daemons);
    callTimeoutMs = callTimeoutMs == null ? DEFAULT_CALL_TIMEOUT_MS : callTimeoutMs;
  }

  /**
   * Holds addresses of one service.
   *
   * @param addresses IP numbers and ports, at least one
   */
  public record Addresses(List<String> addresses) {

    /** Copies the parts. */
    public Addresses {
      addresses = List.copyOf(addresses);
    }
  }

  /**
   * Holds the operators' address of one daemon.
   *
   * @param id the daemon's identity
   * @param operators IP number and port
   */
  public record DaemonAddress(String id, String operators) {}
}
