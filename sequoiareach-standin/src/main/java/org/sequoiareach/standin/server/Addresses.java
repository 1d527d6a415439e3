package org.sequoiareach.standin.server;

import java.net.InetSocketAddress;
import org.sequoiareach.model.Check;

/** Parses and formats socket addresses of the form {@code 127.0.0.1:7001}. */
public final class Addresses {

  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /**
   * Parses an address.
   *
   * @param text an IP address and a port
   * @return the address
   * @throws IllegalArgumentException if the text is not such an address
   */
  public static InetSocketAddress parse(String text) {
    Check.hasText(text, "address");
    int colon = text.lastIndexOf(':');
    Check.isTrue(colon > 0, "'" + text + "' is not of the form 127.0.0.1:7001.");
    try {
      long port = Long.parseLong(text.substring(colon + 1));
      Check.inRange(port, 0, MAX_PORT, "port");
      return new InetSocketAddress(text.substring(0, colon), (int) port);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("'" + text + "' does not end with a port number.", e);
    }
  }

  /**
   * Formats an address.
   *
   * @param address a resolved address
   * @return the IP address and the port
   */
  public static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
