package org.sequoiareach.store.http;

import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.util.LinkedHashMap;
import java.util.Map;
import jdk.net.ExtendedSocketOptions;
import reactor.netty.resources.LoopResources;

/**
 * Has the kernel probe idle connections, so that one that has gone silent is closed within seconds
 * and not when it is next needed.
 */
public final class KeepAliveProbes {

  /** Two seconds of silence and two lost probes are the time within which a cut must show. */
  private static final int IDLE_SECONDS = 1;

  private static final int INTERVAL_SECONDS = 1;
  private static final int PROBES = 2;

  private KeepAliveProbes() {}

  /**
   * Returns the options of a connection.
   *
   * @return the options and their values
   */
  public static Map<ChannelOption<?>, Object> options() {
    Map<ChannelOption<?>, Object> options = new LinkedHashMap<>();
    options.put(ChannelOption.SO_KEEPALIVE, true);
    if (LoopResources.hasNativeSupport()) {
      options.put(EpollChannelOption.TCP_KEEPIDLE, IDLE_SECONDS);
      options.put(EpollChannelOption.TCP_KEEPINTVL, INTERVAL_SECONDS);
      options.put(EpollChannelOption.TCP_KEEPCNT, PROBES);
    } else {
      options.put(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS);
      options.put(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS);
      options.put(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
    }
    return options;
  }
}
