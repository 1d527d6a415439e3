package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.sequoiareach.decision.pressure.Holding;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Channel handler for one connection of a {@link StatusServer}: responds to requests one at a time.
 * Confined to the event loop.
 */
final class StatusConnection extends ChannelInboundHandlerAdapter implements DecodeGate {

  /** Longer than the period of any readiness check or of a scrape of the metrics. */
  private static final long IDLE_MS = 120_000;

  /** For the rest of a request, or for reading a response. */
  private static final long PROGRESS_MS = 10_000;

  private final StatusServer server;
  private final Channel channel;
  private final RequestMemory memory;
  private InputRegulator regulator;
  private HttpRequest request;
  private boolean reading;
  private boolean closing;
  private boolean headStarted;
  private int headLines;
  private long progressMs = MonotonicClock.nowMs();

  StatusConnection(StatusServer server, Channel channel) {
    this.server = server;
    this.channel = channel;
    this.memory = new RequestMemory(server.memory());
  }

  void setRegulator(InputRegulator regulator) {
    this.regulator = regulator;
  }

  /** Returns whether the previous response is written. */
  boolean isReady() {
    return channel.isWritable();
  }

  @Override
  public boolean mayDecode(ByteBuf input) {
    if (closing) {
      input.skipBytes(input.readableBytes());
      return false;
    }
    if (!isReady() || !regulator.tryTakeObject()) {
      return false;
    }
    if (!reading) {
      // Later bytes of the same request do not count, so that it cannot be sent without an end.
      progressMs = MonotonicClock.nowMs();
      reading = true;
    }
    return request != null || reserveHead(input);
  }

  Holding holding() {
    boolean idle = !reading && channel.isWritable();
    Holding.Stage stage = idle ? Holding.Stage.IDLE : Holding.Stage.SENDING;
    return new Holding(stage, memory.heldBytes(), progressMs);
  }

  void checkDeadline(long nowMs) {
    boolean idle = !reading && channel.isWritable();
    if (nowMs - progressMs > (idle ? IDLE_MS : PROGRESS_MS)) {
      closeFor(idle ? "idle" : channel.isWritable() ? "request" : "unread");
    }
  }

  void closeFor(String limit) {
    closing = true;
    server.connectionClosedFor(limit);
    channel.close();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    server.connectionOpened(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    server.connectionClosed(this);
    memory.releaseHead();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    channel.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (channel.isWritable()) {
      progressMs = MonotonicClock.nowMs();
      regulator.resume();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (((HttpObject) message).decoderResult().isFailure()) {
        closeFor("malformed");
        return;
      }
      if (message instanceof HttpRequest head) {
        request = head;
      }
      if (message instanceof LastHttpContent && request != null) {
        respond();
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void respond() {
    FullHttpResponse response = server.createResponse();
    HttpUtil.setContentLength(response, response.content().readableBytes());
    if (HttpMethod.HEAD.equals(request.method())) {
      response = response.replace(Unpooled.EMPTY_BUFFER);
    }
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      closing = true;
    }
    request = null;
    reading = false;
    headStarted = false;
    headLines = 0;
    memory.releaseHead();
    progressMs = MonotonicClock.nowMs();
    ChannelFuture written = channel.writeAndFlush(response);
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private boolean reserveHead(ByteBuf input) {
    HeadCost cost = HeadCost.of(input, headStarted);
    headStarted = cost.started();
    headLines += cost.lines();
    if (headLines <= server.limits().maxHeaderLines() && memory.tryReserveHead(cost.heapBytes())) {
      return true;
    }
    input.skipBytes(input.readableBytes());
    closeFor("memory");
    return false;
  }
}
