package org.sequoiareach.standin.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.reactivestreams.Publisher;
import org.sequoiareach.standin.server.Addresses;
import org.sequoiareach.standin.server.EventLoops;
import org.sequoiareach.standin.server.Standin;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.NettyInbound;
import reactor.netty.NettyOutbound;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Relays TCP connections to another address and injects network faults. Its record and fault
 * switches are served over HTTP on a separate address. Thread-safe.
 */
public final class RelayStandin implements Standin {

  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(3);

  private final InetSocketAddress forward;
  private final RelayControl control;
  private final LinkDirection forwardDirection = new LinkDirection();
  private final LinkDirection backwardDirection = new LinkDirection();
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicLong acceptedConnections = new AtomicLong();
  private InetSocketAddress listen;
  private InetSocketAddress controlAddress;
  private DisposableServer server;

  /**
   * Creates a relay without starting it.
   *
   * @param settings the settings
   */
  public RelayStandin(RelaySettings settings) {
    this.listen = Addresses.parse(settings.listen());
    this.forward = Addresses.parse(settings.forward());
    this.control = new RelayControl(settings.control(), this::record, this::apply);
  }

  @Override
  public synchronized InetSocketAddress start() {
    controlAddress = control.start();
    bind();
    return listen;
  }

  @Override
  public synchronized void close() {
    control.close();
    unbind();
  }

  /**
   * Returns the address of {@code /healthz}, {@code /record} and {@code /faults}.
   *
   * @return the bound address
   * @throws IllegalStateException if the relay has not been started
   */
  public synchronized InetSocketAddress controlAddress() {
    if (controlAddress == null) {
      throw new IllegalStateException("The relay has not been started.");
    }
    return controlAddress;
  }

  /**
   * Returns the traffic counters of the relay.
   *
   * @return the record
   */
  public RelayRecord record() {
    return new RelayRecord(
        acceptedConnections.get(),
        connections.size(),
        forwardDirection.bytes(),
        backwardDirection.bytes());
  }

  /**
   * Replaces all fault switches.
   *
   * @param switches the new switches
   */
  public void setFaults(RelayFaults switches) {
    control.setFaults(switches);
  }

  private synchronized void apply(RelayFaults switches) {
    forwardDirection.set(switches.stallForward(), switches.delayForwardMs());
    backwardDirection.set(switches.stallBackward(), switches.delayBackwardMs());
    if (switches.cut()) {
      unbind();
    } else if (controlAddress != null && server == null) {
      bind();
    }
  }

  private void bind() {
    server =
        TcpServer.create()
            .runOn(EventLoops.shared(), false)
            .bindAddress(() -> listen)
            .doOnChannelInit((observer, channel, remote) -> connections.add(channel))
            .handle(this::relay)
            .bindNow();
    listen = (InetSocketAddress) server.address();
  }

  private void unbind() {
    if (server == null) {
      return;
    }
    server.disposeNow(STOP_TIMEOUT);
    server = null;
    connections.close().awaitUninterruptibly(STOP_TIMEOUT.toMillis());
  }

  private Publisher<Void> relay(NettyInbound in, NettyOutbound out) {
    acceptedConnections.incrementAndGet();
    Mono<? extends Connection> target =
        TcpClient.newConnection()
            .runOn(EventLoops.shared(), false)
            .remoteAddress(() -> forward)
            .connect();
    return Mono.usingWhen(
        target,
        connection -> relayBothDirections(in, out, connection),
        connection -> Mono.fromRunnable(connection::dispose));
  }

  private Mono<Void> relayBothDirections(NettyInbound in, NettyOutbound out, Connection target) {
    Flux<ByteBuf> requests = forwardDirection.relay(in.receive().retain());
    Flux<ByteBuf> answers = backwardDirection.relay(target.inbound().receive().retain());
    Mono<Void> sent = target.outbound().send(requests, buffer -> true).then();
    Mono<Void> received = out.send(answers, buffer -> true).then();
    return Mono.firstWithSignal(sent, received);
  }
}
