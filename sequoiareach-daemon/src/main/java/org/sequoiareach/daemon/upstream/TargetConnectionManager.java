package org.sequoiareach.daemon.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sequoiareach.decision.dispatch.ProbeOutcome;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.store.http.KeepAliveProbes;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.resources.LoopResources;

/**
 * Opens and pools connections to targets. Each incarnation of a target has its own pool, because
 * addresses are reused.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class TargetConnectionManager {

  /** Many round trips within a region; a slower target counts as unreachable. */
  private static final int CONNECT_TIMEOUT_MS = 400;

  private static final int MAX_HEADER_BYTES = 64 << 10;
  private static final long EXPIRY_CHECK_MS = 250;

  /** Lets other connections have their turn while a target sends without a pause. */
  private static final int READS_PER_TURN = 4;

  private final Bootstrap bootstrap;
  private final Map<String, TargetConnectionPool> pools = new HashMap<>();

  /**
   * Creates a manager without connections.
   *
   * @param loop the event loop that all connections run on
   * @param resources selects the channel type, epoll or NIO
   */
  public TargetConnectionManager(EventLoop loop, LoopResources resources) {
    Check.notNull(loop, "loop");
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(resources.onChannelClass(SocketChannel.class, loop))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.RCVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(READS_PER_TURN));
    KeepAliveProbes.options().forEach((option, value) -> setOption(option, value));
    loop.scheduleWithFixedDelay(
        this::closeExpired, EXPIRY_CHECK_MS, EXPIRY_CHECK_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Takes an idle connection from the pool of a target or opens a new one. A connection on which
   * the target refused the same request is not used for it again.
   *
   * @param target the target
   * @param requestId the identifier of the request to send
   * @param maxConnections the maximum number of open connections to the target
   * @param done receives either a connection and null, or null and the reason of the failure
   */
  public void acquire(
      RoutedTarget target,
      String requestId,
      int maxConnections,
      BiConsumer<TargetConnection, IOException> done) {
    TargetConnectionPool pool =
        pools.computeIfAbsent(poolKey(target), key -> new TargetConnectionPool());
    pool.acquireIdle(requestId)
        .ifPresentOrElse(
            connection -> done.accept(connection, null),
            () -> open(pool, target, maxConnections, done));
  }

  /**
   * Opens a connection to a target and closes it at once.
   *
   * @param target the target
   * @param done receives the outcome, on the event loop
   */
  public void probe(RoutedTarget target, Consumer<ProbeOutcome> done) {
    ChannelFuture opened =
        bootstrap
            .clone()
            .handler(new ChannelDuplexHandler())
            .connect(parseAddress(target.address()));
    opened.addListener(
        ignored -> {
          opened.channel().close();
          done.accept(classify(opened));
        });
  }

  private static ProbeOutcome classify(ChannelFuture opened) {
    if (opened.isSuccess()) {
      return ProbeOutcome.REACHED;
    }
    return isRefusal(opened.cause()) ? ProbeOutcome.REFUSED : ProbeOutcome.UNKNOWN;
  }

  /**
   * Returns whether a failure to connect shows that nothing listens at the address, in contrast to
   * a timeout.
   *
   * @param failure the failure
   * @return true if the connection was refused
   */
  public static boolean isRefusal(Throwable failure) {
    return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
  }

  /**
   * Closes the idle connections to a target, and the others as soon as their responses end.
   *
   * @param target the target
   */
  public void retire(RoutedTarget target) {
    TargetConnectionPool pool = pools.remove(poolKey(target));
    if (pool != null) {
      pool.retire();
    }
  }

  /**
   * Returns the number of connections that are open or being opened.
   *
   * @return the number of connections
   */
  public int connectionCount() {
    return pools.values().stream().mapToInt(TargetConnectionPool::size).sum();
  }

  private void open(
      TargetConnectionPool pool,
      RoutedTarget target,
      int maxConnections,
      BiConsumer<TargetConnection, IOException> done) {
    if (!pool.makeRoom(maxConnections)) {
      done.accept(
          null,
          new IOException(
              "all " + maxConnections + " connections to target " + target.id() + " are in use"));
      return;
    }
    InetSocketAddress address;
    try {
      address = parseAddress(target.address());
    } catch (IllegalArgumentException e) {
      done.accept(null, new IOException(e.getMessage(), e));
      return;
    }
    TargetConnection connection =
        new TargetConnection(pool, new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
    pool.onOpening();
    ChannelFuture opened =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(connection.decoder(), new HttpRequestEncoder(), connection);
                  }
                })
            .connect(address);
    opened.addListener(
        ignored -> {
          if (opened.isSuccess()) {
            pool.onOpened(connection);
            done.accept(connection, null);
          } else {
            pool.onOpenFailed();
            done.accept(null, toIoException(opened.cause()));
          }
        });
  }

  @SuppressWarnings("unchecked")
  private <T> void setOption(ChannelOption<T> option, Object value) {
    bootstrap.option(option, (T) value);
  }

  private static IOException toIoException(Throwable cause) {
    return cause instanceof IOException problem ? problem : new IOException(cause);
  }

  private void closeExpired() {
    long nowMs = MonotonicClock.nowMs();
    pools.values().forEach(pool -> pool.closeExpired(nowMs));
    pools.values().removeIf(TargetConnectionPool::isEmpty);
  }

  private static String poolKey(RoutedTarget target) {
    return target.id() + "/" + target.incarnation() + "/" + target.address();
  }

  private static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    Check.isTrue(colon > 0, "the target address '" + address + "' is not an IP address and a port");
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
