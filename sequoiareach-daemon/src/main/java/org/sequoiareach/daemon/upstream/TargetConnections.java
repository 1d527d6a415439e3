package org.sequoiareach.daemon.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.store.http.KeepAliveProbes;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.resources.LoopResources;

/**
 * Opens and keeps connections to targets, apart for each incarnation of a target, because addresses
 * are used again. Used on the traffic thread alone.
 */
public final class TargetConnections {

  /** Many round trips within a region; a target that takes longer is not reached. */
  private static final int CONNECT_TIMEOUT_MS = 400;

  private static final int HEADER_BYTES = 64 << 10;
  private static final long SWEEP_MS = 250;

  private final Bootstrap bootstrap;
  private final Map<String, TargetPool> pools = new HashMap<>();

  /**
   * Creates an empty set of connections.
   *
   * @param loop the traffic thread
   * @param resources tells the kind of channel
   */
  public TargetConnections(EventLoop loop, LoopResources resources) {
    Check.notNull(loop, "loop");
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(resources.onChannelClass(SocketChannel.class, loop))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true);
    KeepAliveProbes.options().forEach((option, value) -> setOption(option, value));
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Finds a kept connection or opens one.
   *
   * @param target the target
   * @param most the most connections to have to it
   * @param done receives the connection, or null and why there is none
   */
  public void take(RoutedTarget target, int most, BiConsumer<TargetConnection, IOException> done) {
    TargetPool pool = pools.computeIfAbsent(keyOf(target), key -> new TargetPool());
    pool.takeIdle()
        .ifPresentOrElse(
            connection -> done.accept(connection, null), () -> open(pool, target, most, done));
  }

  /**
   * Closes idle connections to a target and keeps no more.
   *
   * @param target the target
   */
  public void drop(RoutedTarget target) {
    TargetPool pool = pools.remove(keyOf(target));
    if (pool != null) {
      pool.drop();
    }
  }

  /**
   * Counts the connections that stand.
   *
   * @return the count
   */
  public int count() {
    return pools.values().stream().mapToInt(TargetPool::size).sum();
  }

  private void open(
      TargetPool pool,
      RoutedTarget target,
      int most,
      BiConsumer<TargetConnection, IOException> done) {
    if (pool.size() >= most) {
      done.accept(null, new IOException("all " + most + " connections are in use"));
      return;
    }
    InetSocketAddress address;
    try {
      address = parse(target.address());
    } catch (IllegalArgumentException e) {
      done.accept(null, new IOException(e.getMessage(), e));
      return;
    }
    TargetConnection connection = new TargetConnection(pool);
    pool.startOpening();
    ChannelFuture opened =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(codec(), connection);
                  }
                })
            .connect(address);
    opened.addListener(
        ignored -> {
          if (opened.isSuccess()) {
            pool.opened(connection);
            done.accept(connection, null);
          } else {
            pool.openFailed();
            done.accept(null, problemOf(opened.cause()));
          }
        });
  }

  @SuppressWarnings("unchecked")
  private <T> void setOption(ChannelOption<T> option, Object value) {
    bootstrap.option(option, (T) value);
  }

  private static HttpClientCodec codec() {
    return new HttpClientCodec(
        new HttpDecoderConfig().setMaxHeaderSize(HEADER_BYTES), false, false);
  }

  private static IOException problemOf(Throwable cause) {
    return cause instanceof IOException problem ? problem : new IOException(cause);
  }

  private void sweep() {
    long nowMs = MonotonicClock.nowMs();
    pools.values().forEach(pool -> pool.closeExpired(nowMs));
    pools.values().removeIf(TargetPool::isEmpty);
  }

  private static String keyOf(RoutedTarget target) {
    return target.id() + "/" + target.incarnation() + "/" + target.address();
  }

  private static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    Check.isTrue(colon > 0, "'" + address + "' is not an IP number and a port.");
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
