package org.sequoiareach.daemon.front;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sequoiareach.daemon.memory.MemoryAccount;
import org.sequoiareach.decision.pressure.PressureStrategy;
import org.sequoiareach.decision.pressure.StalledFirstStrategy;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * HTTP/1.1 server that answers every request with the same kind of short response, such as a
 * readiness check. Holds at most one unread response for each connection.
 */
public final class StatusServer implements AutoCloseable {

  private static final int MAX_HEAD_BYTES = 8 << 10;
  private static final int READ_BYTES = 4 << 10;
  private static final int SEND_BUFFER_BYTES = 64 << 10;
  private static final long DEADLINE_CHECK_MS = 1_000;

  /** A response is pending from its first byte, so that the next request waits until it is sent. */
  private static final WriteBufferWaterMark ONE_RESPONSE = new WriteBufferWaterMark(1, 1);

  private final String name;
  private final Supplier<FullHttpResponse> responses;
  private final MetricRegistry metrics;
  private final ClientLimits limits;
  private final MemoryAccount memory;
  private final DecodeTurns decodeTurns;
  private final PressureStrategy pressureStrategy = new StalledFirstStrategy();
  private final Set<StatusConnection> connections = new HashSet<>();
  private final Channel channel;

  /**
   * Starts a server.
   *
   * @param name the name in metrics
   * @param address the local address
   * @param responses creates the response to each request
   * @param metrics the registry for the counts of closed connections
   * @param loop the event loop that all connections run on
   * @param memory accounts for what is held for clients
   * @param limits the limits on connections and header lines
   */
  public StatusServer(
      String name,
      InetSocketAddress address,
      Supplier<FullHttpResponse> responses,
      MetricRegistry metrics,
      EventLoop loop,
      MemoryAccount memory,
      ClientLimits limits) {
    this.name = name;
    this.responses = responses;
    this.metrics = metrics;
    this.limits = limits;
    this.memory = memory;
    this.decodeTurns = new DecodeTurns(loop);
    this.channel =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, ONE_RESPONSE)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadSizes.upTo(READ_BYTES))
            .childHandler(new PipelineInitializer())
            .bind(address)
            .syncUninterruptibly()
            .channel();
    loop.scheduleWithFixedDelay(
        this::checkDeadlines, DEADLINE_CHECK_MS, DEADLINE_CHECK_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    channel.close();
  }

  FullHttpResponse createResponse() {
    return responses.get();
  }

  ClientLimits limits() {
    return limits;
  }

  MemoryAccount memory() {
    return memory;
  }

  void connectionOpened(StatusConnection connection) {
    connections.add(connection);
    if (connections.size() <= limits.maxStatusConnections()) {
      return;
    }
    List<StatusConnection> others =
        connections.stream().filter(other -> other != connection).toList();
    OptionalInt chosen =
        pressureStrategy.chooseForConnection(
            others.stream().map(StatusConnection::holding).toList(), MonotonicClock.nowMs());
    StatusConnection closed = chosen.isPresent() ? others.get(chosen.getAsInt()) : connection;
    connections.remove(closed);
    closed.closeFor("connections");
  }

  void connectionClosed(StatusConnection connection) {
    connections.remove(connection);
  }

  void connectionClosedFor(String limit) {
    metrics.meter("front.closed." + name + "." + limit).mark();
  }

  private void checkDeadlines() {
    long nowMs = MonotonicClock.nowMs();
    List.copyOf(connections).forEach(connection -> connection.checkDeadline(nowMs));
  }

  private final class PipelineInitializer extends ChannelInitializer<SocketChannel> {

    @Override
    protected void initChannel(SocketChannel child) {
      StatusConnection connection = new StatusConnection(StatusServer.this, child);
      HttpDecoderConfig config =
          new HttpDecoderConfig()
              .setMaxInitialLineLength(MAX_HEAD_BYTES)
              .setMaxHeaderSize(MAX_HEAD_BYTES);
      StrictRequestDecoder decoder = new StrictRequestDecoder(config, connection);
      InputRegulator regulator =
          new InputRegulator(
              decodeTurns,
              decoder,
              connection::isReady,
              memory.reads(),
              () -> connection.closeFor("memory"));
      connection.setRegulator(regulator);
      child.pipeline().addLast(regulator, decoder, new HttpResponseEncoder(), connection);
    }
  }
}
