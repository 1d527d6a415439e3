package org.sequoiareach.standin.relay;

import org.sequoiareach.model.Check;

/**
 * Holds the settings of a relay.
 *
 * @param listen the address to take connections on; port 0 takes a free port
 * @param forward the address to which connections are passed on
 * @param control the address of {@code /healthz}, {@code /record} and {@code /faults}; a free port
 *     of the loopback address where absent
 */
public record RelaySettings(String listen, String forward, String control) {

  private static final String DEFAULT_CONTROL = "127.0.0.1:0";

  /** Checks the parts and sets the absent ones. */
  public RelaySettings {
    Check.hasText(listen, "listen");
    Check.hasText(forward, "forward");
    control = control == null ? DEFAULT_CONTROL : control;
  }

  /**
   * Creates settings with the default control address.
   *
   * @param listen the address to take connections on
   * @param forward the address to which connections are passed on
   */
  public RelaySettings(String listen, String forward) {
    this(listen, forward, null);
  }
}
