package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
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
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.sequoiareach.daemon.dialect.InvalidCallException;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.CallerLimits;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Channel handler for one caller connection: reads requests one at a time and writes their
 * responses.
 *
 * <p>Each phase has a deadline, which {@link GatewayHttpServer} checks periodically. Not
 * thread-safe; confined to the event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  private enum Phase {
    /** No request has started. */
    IDLE,
    /** Bytes of a request have arrived, but not its complete head. */
    READING_HEAD,
    /** The head was read; the body is incomplete. */
    READING_BODY,
    /** The request was handed over; its response has not ended. */
    RESPONDING,
    /**
     * The connection is about to close. Further input is read and dropped, because closing with
     * unread input would reset the connection and the caller could lose the response.
     */
    LINGERING
  }

  /** Time for the caller to read the response; a few round trips are enough. */
  private static final long LINGER_MS = 1_000;

  /** Long, because a socket takes more bytes only once a good part of its buffer is free. */
  private static final long UNREAD_MS = 30_000;

  private static final String NO_MEMORY =
      "the bodies of other requests leave no memory for this one";

  /** Bounds of the random time after which callers return whose requests were not read. */
  private static final long MIN_RETRY_AFTER_MS = 300;

  private static final long MAX_RETRY_AFTER_MS = 900;

  private final GatewayHttpServer server;
  private final Deque<HttpObject> pipelined = new ArrayDeque<>();
  private Channel channel;
  private Phase phase = Phase.IDLE;
  private long deadlineMs;
  private long unsentBytes;
  private HttpRequest request;
  private CallProfile profile;
  private ByteBuf body;
  private long reservedBytes;
  private CallResponseWriter responseWriter;
  private Runnable onDisconnect = () -> {};
  private Optional<AnswerProgress> lastAnswer = Optional.empty();
  private AnswerEnd closing = AnswerEnd.CALLER_LEFT;

  CallerConnection(GatewayHttpServer server) {
    this.server = server;
  }

  /** Starts the deadline for the request head if the connection was idle. */
  void bytesReceived() {
    if (phase == Phase.IDLE) {
      enter(Phase.READING_HEAD, MonotonicClock.nowMs() + limits().headerTimeoutMs());
    }
  }

  /** Rejects the request or closes the connection if the deadline of the phase has passed. */
  void checkDeadline(long nowMs) {
    if (nowMs < deadlineMs) {
      return;
    }
    switch (phase) {
      case READING_HEAD, READING_BODY ->
          reject(
              HttpResponseStatus.REQUEST_TIMEOUT,
              "the request was not received within its deadline");
      case IDLE -> closeUnlessCallerReads(nowMs, AnswerEnd.IDLE_TIMEOUT);
      case LINGERING -> closeUnlessCallerReads(nowMs, AnswerEnd.LINGER_TIMEOUT);
      default -> {}
    }
  }

  private void closeUnlessCallerReads(long nowMs, AnswerEnd end) {
    long leftBytes = countUnsentBytes();
    if (leftBytes > 0 && leftBytes < unsentBytes) {
      enter(phase, nowMs + UNREAD_MS);
      return;
    }
    close(end);
  }

  private long findIdleDeadlineMs() {
    long limitMs = countUnsentBytes() > 0 ? UNREAD_MS : limits().idleTimeoutMs();
    return MonotonicClock.nowMs() + limitMs;
  }

  private long countUnsentBytes() {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    return unsent == null ? 0 : unsent.totalPendingWriteBytes() - unsent.currentProgress();
  }

  /**
   * Closes the connection if no request is in progress on it, once its response is sent. A request
   * that is still read is refused.
   */
  void closeIfIdle() {
    if (phase == Phase.READING_HEAD || phase == Phase.READING_BODY) {
      rejectNotRun("the daemon is stopping");
    } else if (phase == Phase.IDLE || phase == Phase.LINGERING) {
      closing = AnswerEnd.PROCESS_END;
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Returns the progress of the answer that the caller has not got whole, if there is one. */
  Optional<AnswerProgress> incompleteAnswer() {
    if (phase == Phase.READING_HEAD || phase == Phase.READING_BODY) {
      String requestId = profile == null ? "" : profile.requestId();
      return Optional.of(new AnswerProgress(requestId, false, server.sheetVersion()));
    }
    return lastAnswer.filter(answer -> !answer.isWhole());
  }

  private void close(AnswerEnd end) {
    closing = end;
    channel.close();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    server.connectionOpened(this);
    enter(Phase.IDLE, MonotonicClock.nowMs() + limits().idleTimeoutMs());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    server.connectionClosed(this);
    incompleteAnswer()
        .ifPresent(
            answer -> server.answerEnds().onIncomplete(answer, closing, server.sheetVersion()));
    pipelined.forEach(ReferenceCountUtil::release);
    pipelined.clear();
    releaseBody();
    releaseReserved();
    if (phase == Phase.RESPONDING) {
      responseWriter.ended = true;
      onDisconnect.run();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    close(AnswerEnd.CONNECTION_ERROR);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (responseWriter != null) {
      responseWriter.writableListener.accept(channel.isWritable());
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (phase == Phase.RESPONDING) {
      // A pipelined request, which is read once the current response has ended.
      pipelined.add((HttpObject) message);
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
        rejectMalformed(message.decoderResult().cause());
        return;
      }
      if (message instanceof HttpRequest head) {
        readHead(head);
      }
      if (phase == Phase.READING_BODY && message instanceof HttpContent part) {
        readBody(part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readHead(HttpRequest head) {
    long nowMs = MonotonicClock.nowMs();
    request = head;
    if (server.isClosing()) {
      rejectNotRun("the daemon is stopping");
      return;
    }
    if (HttpUtil.getContentLength(head, 0L) > limits().bodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, bodyTooLong());
      return;
    }
    try {
      profile = server.dialect().readRequest(head, nowMs);
    } catch (InvalidCallException e) {
      reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    int length = (int) HttpUtil.getContentLength(head, 0L);
    if (!tryReserve(length)) {
      rejectNotRun(NO_MEMORY);
      return;
    }
    body = channel.alloc().buffer(length);
    enter(Phase.READING_BODY, Math.max(profile.deadlineMs(), nowMs + limits().headerTimeoutMs()));
    if (HttpUtil.is100ContinueExpected(head)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void readBody(HttpContent part) {
    if (body.readableBytes() + (long) part.content().readableBytes() > limits().bodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, bodyTooLong());
      return;
    }
    // Copied, because callers choose the size of chunks, and each one kept would cost its objects.
    long missingBytes = body.readableBytes() + part.content().readableBytes() - reservedBytes;
    if (missingBytes > 0 && !tryReserve(missingBytes)) {
      rejectNotRun(NO_MEMORY);
      return;
    }
    body.writeBytes(part.content());
    if (part instanceof LastHttpContent) {
      final ByteBuf requestBody = body;
      body = null;
      responseWriter = new CallResponseWriter(HttpUtil.isKeepAlive(request), request.method());
      lastAnswer = Optional.of(responseWriter.progress);
      enter(Phase.RESPONDING, Long.MAX_VALUE);
      onDisconnect =
          server.requestHandler().handleRequest(profile, request, requestBody, responseWriter);
    }
  }

  private String bodyTooLong() {
    return "the request body is longer than " + limits().bodyBytes() + " bytes";
  }

  private boolean tryReserve(long bytes) {
    if (!server.bodyMemory().tryReserve(reservedBytes, bytes)) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  private void releaseReserved() {
    server.bodyMemory().release(reservedBytes);
    reservedBytes = 0;
  }

  private void rejectNotRun(String detail) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("Sequoiareach-Verdict", Verdict.NOT_RUN.label());
    long retryAfterMs =
        ThreadLocalRandom.current().nextLong(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    server.dialect().setRetryAfter(headers, retryAfterMs);
    reject(HttpResponseStatus.SERVICE_UNAVAILABLE, detail, headers);
  }

  private void rejectMalformed(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
      reject(
          HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
          "the request head is too long: " + cause.getMessage());
      return;
    }
    reject(HttpResponseStatus.BAD_REQUEST, "the request is malformed: " + cause.getMessage());
  }

  /** Responds with an error to a request that was not read completely and closes the connection. */
  private void reject(HttpResponseStatus status, String detail) {
    reject(status, detail, EmptyHttpHeaders.INSTANCE);
  }

  private void reject(HttpResponseStatus status, String detail, HttpHeaders headers) {
    server.requestRejected(profile, status.code(), detail);
    releaseBody();
    releaseReserved();
    ByteBuf text = Unpooled.copiedBuffer(detail + "\n", StandardCharsets.UTF_8);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text);
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes());
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(response);
    linger();
  }

  private void linger() {
    enter(Phase.LINGERING, MonotonicClock.nowMs() + LINGER_MS);
  }

  private void onResponseEnded(boolean keepAlive) {
    releaseReserved();
    responseWriter = null;
    onDisconnect = () -> {};
    profile = null;
    if (!keepAlive) {
      pipelined.forEach(ReferenceCountUtil::release);
      pipelined.clear();
      enter(Phase.LINGERING, findIdleDeadlineMs());
      return;
    }
    enter(Phase.IDLE, findIdleDeadlineMs());
    while (phase != Phase.RESPONDING && !pipelined.isEmpty()) {
      bytesReceived();
      read(pipelined.poll());
    }
  }

  private void onResponseSent() {
    if (phase == Phase.LINGERING) {
      linger();
    } else if (phase == Phase.IDLE) {
      enter(Phase.IDLE, MonotonicClock.nowMs() + limits().idleTimeoutMs());
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
    unsentBytes = countUnsentBytes();
  }

  private CallerLimits limits() {
    return server.limits();
  }

  /** Writes the response to the request in progress. */
  private final class CallResponseWriter implements ResponseWriter {

    private final HttpMethod method;
    private final AnswerProgress progress =
        new AnswerProgress(profile.requestId(), true, server.sheetVersion());
    private boolean keepAlive;
    private boolean ended;
    private Consumer<Boolean> writableListener = writable -> {};

    private CallResponseWriter(boolean keepAlive, HttpMethod method) {
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
    public void sendContent(ByteBuf part) {
      if (!isOpen() || HttpMethod.HEAD.equals(method)) {
        part.release();
        return;
      }
      int length = part.readableBytes();
      progress.onPart(length);
      channel
          .writeAndFlush(new DefaultHttpContent(part))
          .addListener(
              written -> {
                if (written.isSuccess()) {
                  progress.onWritten(length);
                }
              });
    }

    @Override
    public void finish() {
      if (!isOpen()) {
        return;
      }
      ended = true;
      ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
      written.addListener(
          outcome -> {
            if (outcome.isSuccess()) {
              progress.onEndWritten();
            }
          });
      if (!written.isDone()) {
        // Before the handler learns that the response has ended.
        server.responseUnsent();
        written.addListener(ignored -> server.responseSent());
      }
      onResponseEnded(keepAlive);
      // A slow caller may still have to take a part of the response.
      written.addListener(ignored -> onResponseSent());
    }

    @Override
    public void abort() {
      abort(Reason.INTERNAL);
    }

    @Override
    public void abort(Reason reason) {
      if (!isOpen()) {
        return;
      }
      ended = true;
      server.answerEnds().onIncomplete(progress, AnswerEnd.ofCut(reason), server.sheetVersion());
      linger();
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void onWritabilityChanged(Consumer<Boolean> listener) {
      writableListener = listener;
    }
  }
}
