package org.sequoiareach.daemon.front;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.daemon.memory.MemoryAccount;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.pressure.Holding;
import org.sequoiareach.decision.pressure.PressureStrategy;
import org.sequoiareach.decision.pressure.StalledFirstStrategy;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.CallerLimits;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * HTTP/1.1 server for callers.
 *
 * <p>Uses Netty's codec directly on an event loop of Reactor Netty. Reactor Netty's own server
 * neither signals the first byte of a request head, from which the header timeout is counted, nor
 * permits rejecting a request before its body has arrived.
 */
public final class GatewayHttpServer implements EffectHandler {

  private static final Logger LOGGER = LogManager.getLogger(GatewayHttpServer.class);
  private static final int ACCEPT_BACKLOG = 1_024;

  /** Bounds what one read may leave undecoded behind a request in progress. */
  private static final int MAX_READ_BYTES = 16 << 10;

  private static final long DEADLINE_CHECK_MS = 200;
  private static final long MAX_LOG_WAIT_MS = 100;
  private static final long CLOSE_CHECK_MS = 5;

  private final CallDialect dialect;
  private final RequestHandler requestHandler;
  private final MetricRegistry metrics;
  private final EventLoop loop;
  private final MemoryAccount memory;
  private final ClientLimits clientLimits;
  private final DecodeTurns decodeTurns;
  private final PressureStrategy pressureStrategy = new StalledFirstStrategy();
  private final Set<CallerConnection> connections = new HashSet<>();
  private int unsentResponses;
  private volatile CallerLimits limits = CallerLimits.INITIAL;
  private volatile boolean draining;
  private volatile long sheetVersion;
  private volatile boolean closing;
  private final AnswerEndLog answerEnds;

  /**
   * Creates a server that does not listen yet.
   *
   * @param dialect reads request heads
   * @param requestHandler handles complete requests
   * @param metrics the registry for the counts of rejected requests
   * @param loop the event loop that all connections run on
   * @param memory accounts for what is held for callers
   * @param clientLimits the limits on connections and header lines
   */
  public GatewayHttpServer(
      CallDialect dialect,
      RequestHandler requestHandler,
      MetricRegistry metrics,
      EventLoop loop,
      MemoryAccount memory,
      ClientLimits clientLimits) {
    this.memory = Check.notNull(memory, "memory");
    this.clientLimits = Check.notNull(clientLimits, "clientLimits");
    this.decodeTurns = new DecodeTurns(loop);
    this.dialect = Check.notNull(dialect, "dialect");
    this.requestHandler = Check.notNull(requestHandler, "requestHandler");
    this.metrics = Check.notNull(metrics, "metrics");
    this.answerEnds = new AnswerEndLog(metrics);
    this.loop = Check.notNull(loop, "loop");
    loop.scheduleWithFixedDelay(
        this::checkDeadlines, DEADLINE_CHECK_MS, DEADLINE_CHECK_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Opens a listening socket, whose connections wait until a server accepts them.
   *
   * @param address the local address
   * @return the socket
   * @throws IOException if the address is not available
   */
  public static ServerSocketChannel bind(InetSocketAddress address) throws IOException {
    ServerSocketChannel socket = ServerSocketChannel.open();
    socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    return socket.bind(address, ACCEPT_BACKLOG);
  }

  /**
   * Starts accepting the connections of a listening socket.
   *
   * @param socket the socket, see {@link #bind}; closed together with the channel
   * @return the listening channel
   */
  public Channel accept(ServerSocketChannel socket) {
    return new ServerBootstrap()
        .group(loop, loop)
        .channelFactory(() -> new NioServerSocketChannel(socket))
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadSizes.upTo(MAX_READ_BYTES))
        .childHandler(new PipelineInitializer())
        .register()
        .syncUninterruptibly()
        .channel();
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof DispatchEffect.UseRoutingSheet use) {
      limits = use.sheet().limits();
      sheetVersion = use.sheet().version();
    }
  }

  /** Makes each connection close after the response in progress. */
  public void drain() {
    draining = true;
    answerEnds.onDrain(MonotonicClock.nowMs());
  }

  /**
   * Closes the connections without a request in progress, once no more callers are accepted, and
   * refuses the requests that are being read or still arrive.
   */
  public void closeIdle() {
    closing = true;
    loop.execute(() -> List.copyOf(connections).forEach(CallerConnection::closeIfIdle));
  }

  /** Logs the answers that the end of the process interrupts; waits a short time for that. */
  public void logProcessEnd() {
    loop.submit(() -> answerEnds.onProcessEnd(List.copyOf(connections), sheetVersion))
        .awaitUninterruptibly(MAX_LOG_WAIT_MS);
  }

  AnswerEndLog answerEnds() {
    return answerEnds;
  }

  long sheetVersion() {
    return sheetVersion;
  }

  /**
   * Waits until all connections have closed.
   *
   * @param deadlineMs when to give up, in milliseconds of the monotonic clock
   */
  public void awaitClosed(long deadlineMs) {
    try {
      while (MonotonicClock.nowMs() < deadlineMs
          && !loop.isShuttingDown()
          && !loop.submit(connections::isEmpty).get(leftMs(deadlineMs), TimeUnit.MILLISECONDS)) {
        TimeUnit.MILLISECONDS.sleep(CLOSE_CHECK_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (TimeoutException e) {
      LOGGER.warn("The connections of callers did not close in time.");
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  private static long leftMs(long deadlineMs) {
    return Math.max(0, deadlineMs - MonotonicClock.nowMs());
  }

  boolean isClosing() {
    return closing;
  }

  boolean isDraining() {
    return draining;
  }

  CallDialect dialect() {
    return dialect;
  }

  RequestHandler requestHandler() {
    return requestHandler;
  }

  MemoryAccount memory() {
    return memory;
  }

  ClientLimits clientLimits() {
    return clientLimits;
  }

  /**
   * Refuses the request of another connection to make room.
   *
   * @param requester the connection that needs memory
   * @param bytes what it holds and needs, in bytes
   * @return false if the requester is to be refused instead
   */
  boolean makeRoom(CallerConnection requester, long bytes) {
    List<CallerConnection> others = others(requester);
    OptionalInt chosen =
        pressureStrategy.chooseForMemory(holdings(others), bytes, MonotonicClock.nowMs());
    chosen.ifPresent(index -> others.get(index).refuseForMemory());
    return chosen.isPresent();
  }

  /** Counts a connection that was closed because clients exceed a limit. */
  void connectionClosedFor(String limit) {
    metrics.meter("front.closed." + limit).mark();
  }

  private List<CallerConnection> others(CallerConnection connection) {
    return connections.stream().filter(other -> other != connection).toList();
  }

  private static List<Holding> holdings(List<CallerConnection> connections) {
    return connections.stream().map(CallerConnection::holding).toList();
  }

  CallerLimits limits() {
    return limits;
  }

  void connectionOpened(CallerConnection connection) {
    connections.add(connection);
    if (connections.size() <= clientLimits.maxCallerConnections()) {
      return;
    }
    List<CallerConnection> others = others(connection);
    OptionalInt chosen =
        pressureStrategy.chooseForConnection(holdings(others), MonotonicClock.nowMs());
    CallerConnection closed = chosen.isPresent() ? others.get(chosen.getAsInt()) : connection;
    // At once, as more connections may be accepted before the closed one reports its end.
    connections.remove(closed);
    closed.closeForConnection();
  }

  void connectionClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Counts a response that has ended although its caller has yet to take a part of it. */
  void responseUnsent() {
    unsentResponses++;
    if (unsentResponses == 1) {
      requestHandler.onResponsesUnsent(true);
    }
  }

  /** Ends what {@link #responseUnsent} began. */
  void responseSent() {
    unsentResponses--;
    if (unsentResponses == 0) {
      requestHandler.onResponsesUnsent(false);
    }
  }

  /**
   * Logs and counts a request that was rejected before it was read completely.
   *
   * @param profile the request; null if its head was not read
   */
  void requestRejected(CallProfile profile, int status, String detail) {
    metrics.meter("front.rejected." + status).mark();
    LOGGER.info(
        new StringMapMessage()
            .with("decision", "reject")
            .with("request", profile == null ? "" : profile.requestId())
            .with("status", status)
            .with("reason", detail));
  }

  private void checkDeadlines() {
    long nowMs = MonotonicClock.nowMs();
    List.copyOf(connections).forEach(connection -> connection.checkDeadline(nowMs));
  }

  private final class PipelineInitializer extends ChannelInitializer<SocketChannel> {

    @Override
    protected void initChannel(SocketChannel channel) {
      CallerConnection connection = new CallerConnection(GatewayHttpServer.this);
      HttpDecoderConfig config =
          new HttpDecoderConfig()
              .setMaxInitialLineLength(limits.headerBytes())
              .setMaxHeaderSize(limits.headerBytes());
      StrictRequestDecoder decoder = new StrictRequestDecoder(config, connection);
      InputRegulator regulator =
          new InputRegulator(
              decodeTurns,
              decoder,
              connection::isReady,
              memory.reads(),
              connection::closeForMemory);
      connection.setRegulator(regulator);
      channel.pipeline().addLast(regulator, decoder, new HttpResponseEncoder(), connection);
    }
  }
}
