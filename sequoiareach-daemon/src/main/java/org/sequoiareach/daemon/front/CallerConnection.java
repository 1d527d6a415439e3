package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.sequoiareach.daemon.dialect.InvalidCallException;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.model.route.CallerLimits;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Reads requests from one connection of a caller, one after the other, and writes their answers.
 *
 * <p>Each phase has a deadline, which {@link FrontServer} checks. Used on the traffic thread alone.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  private enum Phase {
    IDLE,
    HEAD,
    BODY,
    ANSWERING,
    /** The connection is to close, and what still comes is dropped so that it is not reset. */
    LINGERING
  }

  /** A caller reads a refusal within a few round trips. */
  private static final long LINGER_MS = 1_000;

  private final FrontServer server;
  private final Deque<HttpObject> waiting = new ArrayDeque<>();
  private Channel channel;
  private Phase phase = Phase.IDLE;
  private long deadlineMs;
  private HttpRequest request;
  private CallProfile profile;
  private CompositeByteBuf body;
  private Answer answer;
  private Runnable onCallerLeft = () -> {};

  CallerConnection(FrontServer server) {
    this.server = server;
  }

  /** Notes that bytes have come, which may begin a request. */
  void bytesReceived() {
    if (phase == Phase.IDLE) {
      enter(Phase.HEAD, MonotonicClock.nowMs() + limits().headerTimeoutMs());
    }
  }

  /** Acts on the deadline of the current phase. */
  void checkDeadline(long nowMs) {
    if (nowMs < deadlineMs) {
      return;
    }
    switch (phase) {
      case HEAD, BODY -> reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request came too slowly");
      case IDLE, LINGERING -> channel.close();
      default -> {}
    }
  }

  /** Closes the connection if no request is in progress on it. */
  void closeIfIdle() {
    if (phase == Phase.IDLE || phase == Phase.LINGERING) {
      channel.close();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    server.opened(this);
    enter(Phase.IDLE, MonotonicClock.nowMs() + limits().idleTimeoutMs());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    server.closed(this);
    waiting.forEach(ReferenceCountUtil::release);
    waiting.clear();
    releaseBody();
    if (phase == Phase.ANSWERING) {
      answer.ended = true;
      onCallerLeft.run();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    channel.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (answer != null) {
      answer.writableListener.accept(channel.isWritable());
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (phase == Phase.ANSWERING) {
      // The next request of a caller that does not wait for its answer.
      waiting.add((HttpObject) message);
      return;
    }
    read((HttpObject) message);
  }

  private void read(HttpObject message) {
    try {
      if (phase == Phase.LINGERING) {
        return;
      }
      if (message.decoderResult().isFailure()) {
        rejectUnreadable(message.decoderResult().cause());
        return;
      }
      if (message instanceof HttpRequest head) {
        readHead(head);
      }
      if (phase == Phase.BODY && message instanceof HttpContent part) {
        readBody(part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readHead(HttpRequest head) {
    long nowMs = MonotonicClock.nowMs();
    request = head;
    if (HttpUtil.getContentLength(head, 0L) > limits().bodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
      return;
    }
    try {
      profile = server.dialect().readRequest(head, nowMs);
    } catch (InvalidCallException e) {
      reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    body = channel.alloc().compositeBuffer(Integer.MAX_VALUE);
    enter(Phase.BODY, Math.max(profile.deadlineMs(), nowMs + limits().headerTimeoutMs()));
    if (HttpUtil.is100ContinueExpected(head)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void readBody(HttpContent part) {
    if (body.readableBytes() + (long) part.content().readableBytes() > limits().bodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
      return;
    }
    if (part.content().isReadable()) {
      body.addComponent(true, part.content().retain());
    }
    if (part instanceof LastHttpContent) {
      final ByteBuf whole = body;
      body = null;
      answer = new Answer(HttpUtil.isKeepAlive(request), request.method());
      enter(Phase.ANSWERING, Long.MAX_VALUE);
      onCallerLeft = server.receiver().receive(profile, request, whole, answer);
    }
  }

  private void rejectUnreadable(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
      reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long");
      return;
    }
    reject(HttpResponseStatus.BAD_REQUEST, "the request cannot be read: " + cause.getMessage());
  }

  /** Answers a request that was not read whole, and gives the connection up. */
  private void reject(HttpResponseStatus status, String detail) {
    server.rejected(profile, status.code(), detail);
    releaseBody();
    ByteBuf text = Unpooled.copiedBuffer(detail + "\n", StandardCharsets.UTF_8);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes());
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(response);
    linger();
  }

  private void linger() {
    enter(Phase.LINGERING, MonotonicClock.nowMs() + LINGER_MS);
  }

  private void answered(boolean keepAlive) {
    answer = null;
    onCallerLeft = () -> {};
    profile = null;
    if (!keepAlive) {
      waiting.forEach(ReferenceCountUtil::release);
      waiting.clear();
      linger();
      return;
    }
    enter(Phase.IDLE, MonotonicClock.nowMs() + limits().idleTimeoutMs());
    while (phase != Phase.ANSWERING && !waiting.isEmpty()) {
      bytesReceived();
      read(waiting.poll());
    }
  }

  private void releaseBody() {
    if (body != null) {
      body.release();
      body = null;
    }
  }

  private void enter(Phase next, long untilMs) {
    phase = next;
    deadlineMs = untilMs;
  }

  private CallerLimits limits() {
    return server.limits();
  }

  /** Writes the answer to the request in progress. */
  private final class Answer implements CallAnswer {

    private final HttpMethod method;
    private boolean keepAlive;
    private boolean ended;
    private Consumer<Boolean> writableListener = writable -> {};

    private Answer(boolean keepAlive, HttpMethod method) {
      this.keepAlive = keepAlive;
      this.method = method;
    }

    @Override
    public boolean isOpen() {
      return !ended && channel.isActive();
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers, OptionalLong length) {
      if (!isOpen()) {
        return;
      }
      HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
      if (length.isPresent()) {
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length.getAsLong());
      } else {
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      }
      keepAlive = keepAlive && !server.isDraining();
      if (!keepAlive) {
        head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      channel.write(head);
    }

    @Override
    public void sendPart(ByteBuf part) {
      if (!isOpen() || HttpMethod.HEAD.equals(method)) {
        part.release();
        return;
      }
      channel.writeAndFlush(new DefaultHttpContent(part));
    }

    @Override
    public void finish() {
      if (!isOpen()) {
        return;
      }
      ended = true;
      channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
      answered(keepAlive);
    }

    @Override
    public void cut() {
      if (!isOpen()) {
        return;
      }
      ended = true;
      phase = Phase.LINGERING;
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void onWritable(Consumer<Boolean> listener) {
      writableListener = listener;
    }
  }
}
