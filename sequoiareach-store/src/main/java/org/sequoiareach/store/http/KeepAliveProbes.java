package org.sequoiareach.store.http;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.util.LinkedHashMap;
import java.util.Map;
import jdk.net.ExtendedSocketOptions;

/**
 * TCP keep-alive options that make the kernel probe idle connections, so that a broken connection
 * is closed within seconds rather than when it is next used.
 */
public final class KeepAliveProbes {

  /** A broken connection must be detected after two seconds of silence and two lost probes. */
  private static final int IDLE_SECONDS = 1;

  private static final int INTERVAL_SECONDS = 1;
  private static final int PROBES = 2;

  private KeepAliveProbes() {}

  /**
   * Returns the options of NIO channels that enable the probes.
   *
   * @return the options and their values
   */
  public static Map<ChannelOption<?>, Object> options() {
    Map<ChannelOption<?>, Object> options = new LinkedHashMap<>();
    options.put(ChannelOption.SO_KEEPALIVE, true);
    options.put(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS);
    options.put(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS);
    options.put(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
    return options;
  }
}
