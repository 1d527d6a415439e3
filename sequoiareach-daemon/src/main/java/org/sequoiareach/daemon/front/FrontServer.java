package org.sequoiareach.daemon.front;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.CallerLimits;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.resources.LoopResources;

/**
 * Listens for callers.
 *
 * <p>Parses HTTP by Netty's codec on Reactor Netty's threads. Reactor Netty's own server does not
 * tell when the first byte of a head arrives, nor lets a request be refused before its body is in.
 */
public final class FrontServer implements EffectHandler {

  private static final Logger LOGGER = LogManager.getLogger(FrontServer.class);
  private static final int BACKLOG = 1_024;
  private static final long SWEEP_MS = 200;

  private final CallDialect dialect;
  private final CallReceiver receiver;
  private final MetricRegistry metrics;
  private final EventLoop loop;
  private final Set<CallerConnection> connections = new HashSet<>();
  private volatile CallerLimits limits = CallerLimits.INITIAL;
  private volatile boolean draining;

  /**
   * Creates a server that does not listen yet.
   *
   * @param dialect reads heads
   * @param receiver receives requests
   * @param metrics the registry for counts
   * @param loop the traffic thread
   */
  public FrontServer(
      CallDialect dialect, CallReceiver receiver, MetricRegistry metrics, EventLoop loop) {
    this.dialect = Check.notNull(dialect, "dialect");
    this.receiver = Check.notNull(receiver, "receiver");
    this.metrics = Check.notNull(metrics, "metrics");
    this.loop = Check.notNull(loop, "loop");
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Starts to listen.
   *
   * @param resources tells the kind of channel
   * @param address where to listen
   * @return the listening channel
   */
  public Channel listen(LoopResources resources, InetSocketAddress address) {
    return new ServerBootstrap()
        .group(loop, loop)
        .channel(resources.onChannelClass(ServerSocketChannel.class, loop))
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new Initializer())
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof DispatchEffect.UseRoutingSheet use) {
      limits = use.sheet().limits();
    }
  }

  /** Ends each connection after the answer in progress. */
  public void drain() {
    draining = true;
  }

  /** Closes the connections that are idle; called once the daemon takes no more callers. */
  public void closeIdle() {
    loop.execute(() -> List.copyOf(connections).forEach(CallerConnection::closeIfIdle));
  }

  boolean isDraining() {
    return draining;
  }

  CallDialect dialect() {
    return dialect;
  }

  CallReceiver receiver() {
    return receiver;
  }

  CallerLimits limits() {
    return limits;
  }

  void opened(CallerConnection connection) {
    connections.add(connection);
  }

  void closed(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Logs a request that was refused before it was read whole. */
  void rejected(CallProfile profile, int status, String detail) {
    metrics.meter("front.rejected." + status).mark();
    LOGGER.info(
        new StringMapMessage()
            .with("decision", "reject")
            .with("request", profile == null ? "" : profile.requestId())
            .with("status", status)
            .with("reason", detail));
  }

  private void sweep() {
    long nowMs = MonotonicClock.nowMs();
    List.copyOf(connections).forEach(connection -> connection.checkDeadline(nowMs));
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {

    @Override
    protected void initChannel(SocketChannel channel) {
      CallerConnection connection = new CallerConnection(FrontServer.this);
      HttpDecoderConfig config =
          new HttpDecoderConfig()
              .setMaxInitialLineLength(limits.headerBytes())
              .setMaxHeaderSize(limits.headerBytes());
      channel
          .pipeline()
          .addLast(
              new ByteNotice(connection),
              new StrictRequestDecoder(config),
              new HttpResponseEncoder(),
              connection);
    }
  }

  /** Tells a connection of bytes before they are decoded. */
  private static final class ByteNotice extends ChannelInboundHandlerAdapter {

    private final CallerConnection connection;

    private ByteNotice(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      connection.bytesReceived();
      ctx.fireChannelRead(message);
    }
  }
}
