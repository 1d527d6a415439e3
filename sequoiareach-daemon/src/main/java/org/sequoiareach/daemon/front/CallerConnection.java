package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.function.LongPredicate;
import org.sequoiareach.daemon.dialect.InvalidCallException;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.pressure.Holding;
import org.sequoiareach.model.route.CallerLimits;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Channel handler for one caller connection: reads requests one at a time and writes their
 * responses.
 *
 * <p>Each phase has a deadline, which {@link GatewayHttpServer} checks periodically. Not
 * thread-safe; confined to the event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements DecodeGate {

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
  private static final String NO_HEAD_MEMORY =
      "the heads of other requests leave no memory for this one";

  private final GatewayHttpServer server;
  private final RequestMemory memory;
  private Channel channel;
  private Phase phase = Phase.IDLE;
  private long deadlineMs;
  private long unsentBytes;
  private HttpRequest request;
  private CallProfile profile;
  private ByteBuf body;
  private int headLines;
  private boolean headStarted;
  private long progressMs;
  private boolean unreadFits = true;
  private InputRegulator regulator;
  private CallResponseWriter responseWriter;
  private Runnable onDisconnect = () -> {};
  private Optional<AnswerProgress> lastAnswer = Optional.empty();
  private AnswerEnd closing = AnswerEnd.CALLER_LEFT;

  CallerConnection(GatewayHttpServer server) {
    this.server = server;
    this.memory = new RequestMemory(server.memory());
  }

  /** Sets the handler that reads ahead of the decoder, before the connection becomes active. */
  void setRegulator(InputRegulator regulator) {
    this.regulator = regulator;
  }

  @Override
  public boolean mayDecode(ByteBuf input) {
    if (phase == Phase.LINGERING) {
      input.skipBytes(input.readableBytes());
      return false;
    }
    if (!isReady() || !regulator.tryTakeObject()) {
      return false;
    }
    progressMs = MonotonicClock.nowMs();
    if (phase == Phase.IDLE) {
      // The time for the request head starts with its first byte.
      enter(Phase.READING_HEAD, progressMs + limits().headerTimeoutMs());
    }
    return phase != Phase.READING_HEAD || reserveHead(input);
  }

  /** Returns whether the next request may be read; not while unread responses exceed the memory. */
  boolean isReady() {
    return phase != Phase.RESPONDING && (phase != Phase.IDLE || unreadFits || channel.isWritable());
  }

  /** Closes the connection because the bytes that wait on it exceed the memory for them. */
  void closeForMemory() {
    server.connectionClosedFor("reads");
    close(AnswerEnd.MEMORY);
  }

  /** Returns what is held for this connection, for the choice of whom to refuse. */
  Holding holding() {
    Holding.Stage stage =
        switch (phase) {
          case READING_HEAD, READING_BODY -> Holding.Stage.SENDING;
          case RESPONDING -> Holding.Stage.RUNNING;
          default -> countUnsentBytes() > 0 ? Holding.Stage.RUNNING : Holding.Stage.IDLE;
        };
    return new Holding(stage, memory.heldBytes(), progressMs);
  }

  /** Refuses the request that is being read, and releases its memory. */
  void refuseForMemory() {
    server.connectionClosedFor("memory");
    if (phase == Phase.READING_BODY) {
      rejectNotRun(NO_MEMORY);
      return;
    }
    releaseRequest();
    close(AnswerEnd.MEMORY);
  }

  /** Closes the connection to make room for another one. */
  void closeForConnection() {
    server.connectionClosedFor("connections");
    close(AnswerEnd.CONNECTION_LIMIT);
  }

  private boolean reserveHead(ByteBuf input) {
    HeadCost cost = HeadCost.of(input, headStarted);
    headStarted = cost.started();
    headLines += cost.lines();
    boolean fits = headLines <= server.clientLimits().maxHeaderLines();
    if (!fits) {
      reject(
          HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
          "the request head has more than " + server.clientLimits().maxHeaderLines() + " lines");
    } else if (!tryReserve(memory::tryReserveHead, cost.heapBytes())) {
      fits = false;
      rejectNotRun(NO_HEAD_MEMORY);
    }
    if (!fits) {
      input.skipBytes(input.readableBytes());
    }
    return fits;
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
    progressMs = MonotonicClock.nowMs();
    enter(Phase.IDLE, progressMs + limits().idleTimeoutMs());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    server.connectionClosed(this);
    incompleteAnswer()
        .ifPresent(
            answer -> server.answerEnds().onIncomplete(answer, closing, server.sheetVersion()));
    releaseRequest();
    memory.tryHoldUnread(0);
    if (phase == Phase.RESPONDING) {
      responseWriter.markEnded();
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
      responseWriter.onWritable(channel.isWritable());
    }
    if (phase == Phase.IDLE && channel.isWritable()) {
      regulator.resume();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
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
    if (!tryReserve(memory::tryReserveBody, length)) {
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
    long missingBytes = body.readableBytes() + part.content().readableBytes() - memory.bodyBytes();
    if (missingBytes > 0 && !tryReserve(memory::tryReserveBody, missingBytes)) {
      rejectNotRun(NO_MEMORY);
      return;
    }
    body.writeBytes(part.content());
    if (part instanceof LastHttpContent) {
      final ByteBuf requestBody = body;
      body = null;
      responseWriter =
          new CallResponseWriter(
              this,
              server,
              channel,
              profile.requestId(),
              HttpUtil.isKeepAlive(request),
              request.method());
      lastAnswer = Optional.of(responseWriter.progress());
      enter(Phase.RESPONDING, Long.MAX_VALUE);
      onDisconnect =
          server.requestHandler().handleRequest(profile, request, requestBody, responseWriter);
    }
  }

  private String bodyTooLong() {
    return "the request body is longer than " + limits().bodyBytes() + " bytes";
  }

  private boolean tryReserve(LongPredicate reservation, long bytes) {
    while (!reservation.test(bytes)) {
      if (!server.makeRoom(this, memory.heldBytes() + bytes)) {
        return false;
      }
    }
    return true;
  }

  private void releaseRequest() {
    releaseBody();
    memory.releaseBody();
    memory.releaseHead();
    request = null;
    headLines = 0;
    headStarted = false;
  }

  private void rejectNotRun(String detail) {
    reject(
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        detail,
        RejectionResponses.notRunHeaders(server.dialect()));
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
    memory.releaseBody();
    if (request != null) {
      // Otherwise the decoder holds a part of the head until the connection is closed.
      releaseRequest();
    }
    channel.writeAndFlush(RejectionResponses.create(status, detail, headers));
    linger();
  }

  /** Drops further input until the connection closes. */
  void linger() {
    enter(Phase.LINGERING, MonotonicClock.nowMs() + LINGER_MS);
  }

  /** Reads the next request, unless the connection closes after the response that has ended. */
  void onResponseEnded(boolean keepAlive) {
    releaseRequest();
    unreadFits = memory.tryHoldUnread(countUnsentBytes());
    responseWriter = null;
    onDisconnect = () -> {};
    profile = null;
    if (!keepAlive) {
      enter(Phase.LINGERING, findIdleDeadlineMs());
    } else {
      enter(Phase.IDLE, findIdleDeadlineMs());
    }
    regulator.resume();
  }

  /** Starts the idle time once the whole response is written. */
  void onResponseSent() {
    memory.tryHoldUnread(channel.isActive() ? countUnsentBytes() : 0);
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
}
