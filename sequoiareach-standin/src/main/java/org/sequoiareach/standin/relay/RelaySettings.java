package org.sequoiareach.standin.relay;

import org.sequoiareach.model.Check;

/**
 * Holds the settings of a relay.
 *
 * @param listen the address to accept connections on; port 0 selects a free port
 * @param forward the address to forward connections to
 * @param control the address of {@code /healthz}, {@code /record} and {@code /faults}; absent for a
 *     free port of the loopback interface
 */
public record RelaySettings(String listen, String forward, String control) {

  private static final String DEFAULT_CONTROL = "127.0.0.1:0";

  /** Validates the settings and applies defaults to absent ones. */
  public RelaySettings {
    Check.hasText(listen, "listen");
    Check.hasText(forward, "forward");
    control = control == null ? DEFAULT_CONTROL : control;
  }

  /**
   * Creates settings with the default control address.
   *
   * @param listen the address to accept connections on
   * @param forward the address to forward connections to
   */
  public RelaySettings(String listen, String forward) {
    this(listen, forward, null);
  }
}
