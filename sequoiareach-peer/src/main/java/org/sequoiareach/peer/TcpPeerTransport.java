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

/** Sends and receives over TCP by Reactor Netty. Thread-safe. */
public final class TcpPeerTransport implements PeerTransport {

  private static final Logger LOG = LogManager.getLogger(TcpPeerTransport.class);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);
  private static final int WORKERS = 2;
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
    this.loops = LoopResources.create("peer", WORKERS, true);
    this.timers = loops.onClient(false);
    this.server = bind(settings);
  }

  /**
   * Starts a transport: takes peers at once, opens connections as they are needed.
   *
   * @param settings the identity, address and bounds of this daemon
   * @param listener receives what peers send
   * @return the transport
   */
  public static TcpPeerTransport start(PeerSettings settings, PeerListener listener) {
    int[] versions = {TransportContext.MIN_VERSION, TransportContext.MAX_VERSION};
    return start(settings, listener, versions);
  }

  /**
   * Starts a transport that announces other versions of the protocol.
   *
   * @param settings the identity, address and bounds of this daemon
   * @param listener receives what peers send
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
    Outbound outbound = context.outbound(message);
    if (daemonId.equals(context.daemonId())) {
      outbound.failNotRun(Reason.INTERNAL, "A daemon does not send to itself.");
    } else if (outbound.payload().length > context.limits().maxFrameBytes()) {
      outbound.failNotRun(Reason.TOO_LARGE, "The message exceeds the bound of a frame.");
    } else {
      PeerLink link = linkWith(daemonId);
      link.submit(outbound).ifPresent(number -> open(link, daemonId, address, number));
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
    links.values().forEach(PeerLink::stop);
    loops.disposeLater(Duration.ZERO, STOP_TIMEOUT).block(STOP_TIMEOUT.multipliedBy(2));
  }

  private DisposableServer bind(PeerSettings settings) {
    return TcpServer.create()
        .host(settings.host())
        .port(settings.port())
        .runOn(loops, false)
        .doOnConnection(this::addHandlers)
        .handle((in, out) -> read(in, this::answer))
        .bindNow();
  }

  private void open(PeerLink link, String daemonId, String address, long number) {
    InetSocketAddress remote;
    try {
      remote = parse(address);
    } catch (IllegalArgumentException e) {
      link.openFailed(number, e.getMessage());
      return;
    }
    int timeoutMs = context.limits().connectTimeoutMs();
    String late = "No connection with " + daemonId + " at " + address + " stood in time.";
    timers.schedule(() -> link.openFailed(number, late), timeoutMs, TimeUnit.MILLISECONDS);
    TcpClient.create()
        .remoteAddress(() -> remote)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
        .runOn(loops, false)
        .doOnConnected(this::addHandlers)
        .doOnConnected(connection -> greet(connection.channel(), number))
        .handle((in, out) -> read(in, new OpenerStrategy(link, number)))
        .connect()
        .subscribe(connection -> {}, error -> link.openFailed(number, describe(address, error)));
  }

  private void addHandlers(Connection connection) {
    int maxFrameBytes = context.limits().maxFrameBytes();
    int lengthBytes = TransportContext.LENGTH_BYTES;
    connection.addHandlerLast(
        "frames", new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, lengthBytes, 0, lengthBytes));
    connection
        .channel()
        .pipeline()
        .addFirst("flushes", new FlushConsolidationHandler(MAX_UNFLUSHED_FRAMES, true));
  }

  private void greet(Channel channel, long number) {
    write(channel, context.handshake(number, Answer.NONE));
  }

  private Publisher<Void> read(NettyInbound in, PeerChannel.HandshakeStrategy handshakes) {
    PeerChannel[] reader = new PeerChannel[1];
    in.withConnection(connection -> reader[0] = attach(connection, handshakes));
    return in.receive()
        .doOnNext(reader[0]::onFrame)
        .then()
        .onErrorResume(
            error -> {
              reader[0].close(String.valueOf(error.getMessage()));
              return Mono.empty();
            });
  }

  private PeerChannel attach(Connection connection, PeerChannel.HandshakeStrategy handshakes) {
    Channel channel = connection.channel();
    PeerChannel reader = new PeerChannel(channel, context, handshakes, listener);
    int idleMs = context.limits().idleTimeoutMs();
    connection.onReadIdle(idleMs, reader::onReadIdle);
    connection.onWriteIdle(idleMs / 3, reader::onWriteIdle);
    channel
        .eventLoop()
        .schedule(
            reader::onHandshakeDeadline,
            context.limits().connectTimeoutMs(),
            TimeUnit.MILLISECONDS);
    channel.closeFuture().addListener(done -> reader.onClosed().ifPresent(this::onLost));
    return reader;
  }

  private void onLost(PeerConnection connection) {
    String daemonId = connection.peer().daemonId();
    LOG.info("The connection with {} has closed.", daemonId);
    linkWith(daemonId).lost(connection);
  }

  /** Answers a connection that a peer has opened. */
  private Optional<PeerConnection> answer(Channel channel, Handshake theirs) {
    if (!context.handshake(0, Answer.NONE).overlaps(theirs)) {
      logMismatch(theirs);
      refuse(channel, Answer.VERSION_MISMATCH);
      return Optional.empty();
    }
    if (theirs.daemonId().equals(context.daemonId())) {
      LOG.warn("Refusing a connection of {}: it bears this daemon's identity.", channel);
      refuse(channel, Answer.DUPLICATE);
      return Optional.empty();
    }
    PeerLink.Acceptance acceptance = linkWith(theirs.daemonId()).accept(channel, theirs);
    if (acceptance.connection().isEmpty()) {
      refuse(channel, acceptance.answer());
      return Optional.empty();
    }
    write(channel, context.handshake(context.nextNumber(), Answer.ACCEPTED));
    return acceptance.connection();
  }

  /** Evaluates the answer to a connection that this daemon has opened. */
  private Optional<PeerConnection> evaluate(
      PeerLink link, long number, Channel channel, Handshake theirs) {
    if (theirs.answer() == Answer.ACCEPTED && link == links.get(theirs.daemonId())) {
      Optional<PeerConnection> connection = link.accepted(number, channel, theirs);
      if (connection.isEmpty()) {
        channel.close();
      }
      return connection;
    }
    channel.close();
    if (theirs.answer() == Answer.DUPLICATE) {
      return Optional.empty();
    }
    if (theirs.answer() == Answer.VERSION_MISMATCH) {
      logMismatch(theirs);
    }
    String decided = theirs.answer() + " by " + theirs.daemonId();
    link.openFailed(number, "The connection was not accepted: " + decided + ".");
    return Optional.empty();
  }

  private void logMismatch(Handshake theirs) {
    Handshake ours = context.handshake(0, Answer.NONE);
    LOG.warn(
        "Closing the connection with {}: it speaks versions {} to {}, this daemon {} to {}.",
        theirs.daemonId(),
        theirs.minVersion(),
        theirs.maxVersion(),
        ours.minVersion(),
        ours.maxVersion());
  }

  private void refuse(Channel channel, Answer answer) {
    byte[] payload = PeerCodec.encode(context.handshake(context.nextNumber(), answer));
    channel
        .writeAndFlush(context.frame(channel.alloc(), payload))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private void write(Channel channel, Handshake handshake) {
    channel.writeAndFlush(context.frame(channel.alloc(), PeerCodec.encode(handshake)));
  }

  private PeerLink linkWith(String daemonId) {
    return links.computeIfAbsent(daemonId, id -> new PeerLink(id, context, listener));
  }

  private static String describe(String address, Throwable error) {
    return "No connection with " + address + ": " + error.getMessage();
  }

  private static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    Check.isTrue(colon > 0, "'" + address + "' is not an IP number and a port.");
    int port = Integer.parseInt(address.substring(colon + 1));
    return new InetSocketAddress(address.substring(0, colon), port);
  }

  /** Handles the answer to a connection that this daemon has opened. */
  private final class OpenerStrategy implements PeerChannel.HandshakeStrategy {

    private final PeerLink link;
    private final long number;

    private OpenerStrategy(PeerLink link, long number) {
      this.link = link;
      this.number = number;
    }

    @Override
    public Optional<PeerConnection> complete(Channel channel, Handshake theirs) {
      return evaluate(link, number, channel, theirs);
    }

    @Override
    public void onClosedEarly() {
      link.openFailed(number, "The connection was closed before a handshake.");
    }
  }
}
