package org.sequoiareach.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.reactivestreams.Publisher;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.peer.Handshake.Answer;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.NettyInbound;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/** {@link PeerTransport} over TCP, based on Reactor Netty. Thread-safe. */
public final class TcpPeerTransport implements PeerTransport {

  private static final Logger LOG = LogManager.getLogger(TcpPeerTransport.class);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);
  private static final int EVENT_LOOP_THREADS = 2;
  private static final int MAX_UNFLUSHED_FRAMES = 64;

  private final TransportContext context;
  private final PeerListener listener;
  private final LoopResources loops;
  private final EventLoopGroup timers;
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private final DisposableServer server;

  private TcpPeerTransport(PeerSettings settings, PeerListener listener, int[] versions) {
    this.context = new TransportContext(settings, versions[0], versions[1]);
    this.listener = listener;
    this.loops = LoopResources.create("peer", EVENT_LOOP_THREADS, true);
    this.timers = loops.onClient(false);
    this.server = bind(settings);
  }

  /**
   * Starts a transport that listens for peers and opens connections on demand.
   *
   * @param settings the identity, address and limits of this daemon
   * @param listener receives messages and connection losses
   * @return the transport
   */
  public static TcpPeerTransport start(PeerSettings settings, PeerListener listener) {
    int[] versions = {TransportContext.MIN_VERSION, TransportContext.MAX_VERSION};
    return start(settings, listener, versions);
  }

  /**
   * Starts a transport that announces the given protocol versions.
   *
   * @param settings the identity, address and limits of this daemon
   * @param listener receives messages and connection losses
   * @param versions the lowest and the highest version
   * @return the transport
   */
  static TcpPeerTransport start(PeerSettings settings, PeerListener listener, int[] versions) {
    Check.notNull(settings, "settings");
    Check.notNull(listener, "listener");
    return new TcpPeerTransport(settings, listener, versions);
  }

  @Override
  public CompletableFuture<Void> send(String daemonId, String address, PeerMessage message) {
    Check.hasText(daemonId, "daemonId");
    Check.notNull(message, "message");
    OutboundMessage outbound = context.encode(message);
    if (daemonId.equals(context.daemonId())) {
      outbound.failNotRun(Reason.INTERNAL, "Daemon " + daemonId + " cannot send to itself.");
    } else if (outbound.payload().length > context.limits().maxFrameBytes()) {
      outbound.failNotRun(Reason.TOO_LARGE, describeTooLarge(outbound.payload().length));
    } else {
      PeerLink link = linkWith(daemonId);
      link.sendOrQueue(outbound).ifPresent(number -> connect(link, daemonId, address, number));
    }
    return outbound.sent();
  }

  @Override
  public String address() {
    InetSocketAddress bound = (InetSocketAddress) server.address();
    return bound.getAddress().getHostAddress() + ":" + bound.getPort();
  }

  @Override
  public PeerStatistics statistics() {
    long connections = links.values().stream().filter(PeerLink::isConnected).count();
    return context.statistics((int) connections);
  }

  @Override
  public void close() {
    server.dispose();
    links.values().forEach(PeerLink::close);
    loops.disposeLater(Duration.ZERO, STOP_TIMEOUT).block(STOP_TIMEOUT.multipliedBy(2));
  }

  private DisposableServer bind(PeerSettings settings) {
    return TcpServer.create()
        .host(settings.host())
        .port(settings.port())
        .runOn(loops, false)
        .doOnConnection(this::addHandlers)
        .handle((in, out) -> read(in, this::acceptPeer))
        .bindNow();
  }

  private void connect(PeerLink link, String daemonId, String address, long number) {
    InetSocketAddress remote;
    try {
      remote = parse(address);
    } catch (IllegalArgumentException e) {
      link.onOpenFailed(number, e.getMessage());
      return;
    }
    int timeoutMs = context.limits().connectTimeoutMs();
    String timeoutMessage =
        "No connection to " + daemonId + " at " + address + " within " + timeoutMs + " ms.";
    timers.schedule(
        () -> link.onOpenFailed(number, timeoutMessage), timeoutMs, TimeUnit.MILLISECONDS);
    TcpClient.create()
        .remoteAddress(() -> remote)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
        .runOn(loops, false)
        .doOnConnected(this::addHandlers)
        .doOnConnected(connection -> sendHandshake(connection.channel(), number))
        .handle((in, out) -> read(in, new OutboundHandshakeHandler(link, number)))
        .connect()
        .subscribe(connection -> {}, error -> link.onOpenFailed(number, describe(address, error)));
  }

  private void addHandlers(Connection connection) {
    int maxFrameBytes = context.limits().maxFrameBytes();
    int lengthBytes = TransportContext.LENGTH_FIELD_BYTES;
    connection.addHandlerLast(
        "frames", new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, lengthBytes, 0, lengthBytes));
    connection
        .channel()
        .pipeline()
        .addFirst("flushes", new FlushConsolidationHandler(MAX_UNFLUSHED_FRAMES, true));
  }

  private void sendHandshake(Channel channel, long number) {
    write(channel, context.handshake(number, Answer.NONE));
  }

  private Publisher<Void> read(NettyInbound in, PeerFrameReader.HandshakeHandler handshakeHandler) {
    PeerFrameReader[] reader = new PeerFrameReader[1];
    in.withConnection(connection -> reader[0] = createReader(connection, handshakeHandler));
    return in.receive()
        .doOnNext(reader[0]::onFrame)
        .then()
        .onErrorResume(
            error -> {
              reader[0].close(String.valueOf(error.getMessage()));
              return Mono.empty();
            });
  }

  private PeerFrameReader createReader(
      Connection connection, PeerFrameReader.HandshakeHandler handshakeHandler) {
    Channel channel = connection.channel();
    PeerFrameReader reader = new PeerFrameReader(channel, context, handshakeHandler, listener);
    int idleMs = context.limits().idleTimeoutMs();
    connection.onReadIdle(idleMs, reader::onReadIdle);
    connection.onWriteIdle(idleMs / 3, reader::onWriteIdle);
    channel
        .eventLoop()
        .schedule(
            reader::onHandshakeDeadline,
            context.limits().connectTimeoutMs(),
            TimeUnit.MILLISECONDS);
    channel
        .closeFuture()
        .addListener(done -> reader.onClosed().ifPresent(this::onConnectionClosed));
    return reader;
  }

  private void onConnectionClosed(PeerConnection connection) {
    String daemonId = connection.peer().daemonId();
    LOG.info("The connection with {} has closed.", daemonId);
    linkWith(daemonId).onConnectionClosed(connection);
  }

  /** Processes the handshake on a connection opened by a peer. */
  private Optional<PeerConnection> acceptPeer(Channel channel, Handshake peerHandshake) {
    if (!context.handshake(0, Answer.NONE).overlaps(peerHandshake)) {
      logMismatch(peerHandshake);
      rejectAndClose(channel, Answer.VERSION_MISMATCH);
      return Optional.empty();
    }
    if (peerHandshake.daemonId().equals(context.daemonId())) {
      LOG.warn(
          "Rejecting the connection {}: the peer uses this daemon's identity {}.",
          channel,
          context.daemonId());
      rejectAndClose(channel, Answer.DUPLICATE);
      return Optional.empty();
    }
    PeerLink.Acceptance acceptance =
        linkWith(peerHandshake.daemonId()).acceptInbound(channel, peerHandshake);
    if (acceptance.connection().isEmpty()) {
      rejectAndClose(channel, acceptance.answer());
      return Optional.empty();
    }
    write(channel, context.handshake(context.nextConnectionNumber(), Answer.ACCEPTED));
    return acceptance.connection();
  }

  /** Processes the answer to the handshake on a connection opened by this daemon. */
  private Optional<PeerConnection> onHandshakeAnswer(
      PeerLink link, long number, Channel channel, Handshake peerHandshake) {
    if (peerHandshake.answer() == Answer.ACCEPTED && link == links.get(peerHandshake.daemonId())) {
      Optional<PeerConnection> connection = link.completeOpen(number, channel, peerHandshake);
      if (connection.isEmpty()) {
        channel.close();
      }
      return connection;
    }
    channel.close();
    if (peerHandshake.answer() == Answer.DUPLICATE) {
      return Optional.empty();
    }
    if (peerHandshake.answer() == Answer.VERSION_MISMATCH) {
      logMismatch(peerHandshake);
    }
    String decided = peerHandshake.answer() + " by " + peerHandshake.daemonId();
    link.onOpenFailed(number, "The connection was rejected: " + decided + ".");
    return Optional.empty();
  }

  private void logMismatch(Handshake peerHandshake) {
    Handshake ownHandshake = context.handshake(0, Answer.NONE);
    LOG.warn(
        "Closing the connection with {}: it supports protocol versions {} to {}, "
            + "this daemon supports {} to {}.",
        peerHandshake.daemonId(),
        peerHandshake.minVersion(),
        peerHandshake.maxVersion(),
        ownHandshake.minVersion(),
        ownHandshake.maxVersion());
  }

  private void rejectAndClose(Channel channel, Answer answer) {
    byte[] payload = PeerCodec.encode(context.handshake(context.nextConnectionNumber(), answer));
    channel
        .writeAndFlush(context.encodeFrame(channel.alloc(), payload))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private void write(Channel channel, Handshake handshake) {
    channel.writeAndFlush(context.encodeFrame(channel.alloc(), PeerCodec.encode(handshake)));
  }

  private PeerLink linkWith(String daemonId) {
    return links.computeIfAbsent(daemonId, id -> new PeerLink(id, context, listener));
  }

  private String describeTooLarge(int bytes) {
    int limit = context.limits().maxFrameBytes();
    return "The message has "
        + bytes
        + " bytes and exceeds the frame limit of "
        + limit
        + " bytes.";
  }

  private static String describe(String address, Throwable error) {
    return "No connection to " + address + ": " + error.getMessage();
  }

  private static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    Check.isTrue(colon > 0, "'" + address + "' is not of the form IP-address:port.");
    int port = Integer.parseInt(address.substring(colon + 1));
    return new InetSocketAddress(address.substring(0, colon), port);
  }

  /** Handles the answer to the handshake on a connection opened by this daemon. */
  private final class OutboundHandshakeHandler implements PeerFrameReader.HandshakeHandler {

    private final PeerLink link;
    private final long number;

    private OutboundHandshakeHandler(PeerLink link, long number) {
      this.link = link;
      this.number = number;
    }

    @Override
    public Optional<PeerConnection> complete(Channel channel, Handshake peerHandshake) {
      return onHandshakeAnswer(link, number, channel, peerHandshake);
    }

    @Override
    public void onClosedBeforeHandshake() {
      link.onOpenFailed(number, "The connection was closed before the peer's handshake.");
    }
  }
}
