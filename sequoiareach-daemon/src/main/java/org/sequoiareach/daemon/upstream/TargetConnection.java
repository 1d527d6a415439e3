package org.sequoiareach.daemon.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * A connection to a target that carries one request at a time.
 *
 * <p>It is reused only if the response defined its own length, the request was written completely
 * and no bytes followed the response, because such bytes would be taken for the response to the
 * next request. Not thread-safe; confined to the event loop.
 */
public final class TargetConnection extends ChannelDuplexHandler {

  /** The interim responses to one request, which only announce that its response will follow. */
  private static final int MAX_INTERIM_RESPONSES = 32;

  /** The bytes of a response that are read without being used, so that the target can finish. */
  private static final long MAX_UNUSED_BYTES = 1 << 20;

  private static final Set<String> DECODED_CODINGS = Set.of("chunked", "identity");

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

  /** The refused requests that are remembered; after that many the connection is not reused. */
  private static final int MAX_REFUSED_REQUESTS = 64;

  private final TargetConnectionPool pool;
  private final TargetResponseDecoder decoder;
  private final Set<String> refusedRequests = new HashSet<>();
  private Channel channel;
  private Optional<ResponseListener> listener = Optional.empty();
  private Optional<ChannelFuture> headWritten = Optional.empty();
  private Optional<ChannelFuture> written = Optional.empty();
  private ResponseFraming framing = ResponseFraming.CONNECTION;
  private boolean interimResponse;
  private boolean reusable;
  private boolean discarding;
  private boolean skipping;
  private boolean headReceived;
  private boolean singleUse;
  private boolean headRequest;
  private long reusableUntilMs;
  private long headReceivedMs;
  private OptionalLong readSuspendedMs = OptionalLong.empty();
  private int sentRequests;
  private int interimResponses;
  private long unusedBytes;

  TargetConnection(TargetConnectionPool pool, HttpDecoderConfig config) {
    this.pool = pool;
    this.decoder = new TargetResponseDecoder(config, this);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  /**
   * Sends a request.
   *
   * @param request the request head
   * @param body the request body, which is released
   * @param responseListener receives the response
   */
  public void send(HttpRequest request, ByteBuf body, ResponseListener responseListener) {
    listener = Optional.of(responseListener);
    reusable = false;
    discarding = false;
    skipping = false;
    headReceived = false;
    readSuspendedMs = OptionalLong.empty();
    interimResponses = 0;
    unusedBytes = 0;
    headRequest = HttpMethod.HEAD.equals(request.method());
    sentRequests++;
    headWritten = Optional.of(channel.write(request));
    ChannelFuture write = channel.writeAndFlush(new DefaultLastHttpContent(body));
    written = Optional.of(write);
    write.addListener(
        ignored -> {
          if (!write.isSuccess()) {
            disconnect("the request was not written completely: " + write.cause());
            close();
          }
        });
  }

  /**
   * Returns the number of requests sent on this connection.
   *
   * @return the number, including the request in progress
   */
  public int sentRequests() {
    return sentRequests;
  }

  /** Returns the connection to its pool without having sent a request. */
  public void releaseUnused() {
    if (channel.isActive()) {
      pool.release(this);
    }
  }

  /** Closes the connection without notifying the listener. */
  public void abort() {
    listener = Optional.empty();
    close();
  }

  /**
   * Detaches the listener and discards the rest of the response, so that the target can finish. If
   * its head has not been received, the connection is not used again, because nobody is left to
   * tell that response from another one. A response that is longer than {@value #MAX_UNUSED_BYTES}
   * bytes or has not ended by the deadline closes the connection.
   *
   * @param deadlineMs the deadline, in milliseconds of the monotonic clock
   */
  public void discardResponse(long deadlineMs) {
    if (listener.isEmpty()) {
      return;
    }
    listener = Optional.empty();
    discarding = true;
    singleUse |= !headReceived;
    channel.config().setAutoRead(true);
    int discardedRequest = sentRequests;
    channel
        .eventLoop()
        .schedule(
            () -> {
              if (discarding && sentRequests == discardedRequest) {
                close();
              }
            },
            Math.max(0, deadlineMs - MonotonicClock.nowMs()),
            TimeUnit.MILLISECONDS);
  }

  /**
   * Skips the response whose head was received last, because it answers an earlier request. The
   * response that follows it is taken for that of the request in progress, and the connection is
   * not used for another one.
   */
  public void skipResponse() {
    skipping = true;
    headReceived = false;
    singleUse = true;
  }

  /**
   * Records that the target refused a request on this connection. A copy of that refusal could not
   * be told from the answer to the same request, so the connection never carries it again.
   *
   * @param requestId the identifier of the request
   */
  public void recordRefusal(String requestId) {
    refusedRequests.add(requestId);
    singleUse |= refusedRequests.size() >= MAX_REFUSED_REQUESTS;
  }

  /**
   * Sets the time up to which the connection may be reused if the response ends with its head. The
   * target counts the idle time from the end of the response, so a body extends the time by as long
   * as it takes.
   *
   * @param timeMs the time in milliseconds of the monotonic clock
   */
  public void setReusableUntil(long timeMs) {
    reusableUntilMs = timeMs;
  }

  /**
   * Resumes or suspends reading, which applies the back-pressure of a slow caller to the target.
   * Has no effect once the response is complete, because the connection may be in its pool again.
   *
   * @param enabled whether to read
   */
  public void setReadEnabled(boolean enabled) {
    if (listener.isEmpty()) {
      return;
    }
    channel.config().setAutoRead(enabled);
    if (!enabled) {
      readSuspendedMs = OptionalLong.of(MonotonicClock.nowMs());
    }
  }

  boolean isReusableAt(long nowMs) {
    return channel.isActive() && nowMs < reusableUntilMs;
  }

  boolean hasRefused(String requestId) {
    return refusedRequests.contains(requestId);
  }

  /** Closes the connection and removes it from its pool, so that no request is sent on it. */
  void close() {
    pool.remove(this);
    channel.close();
  }

  TargetResponseDecoder decoder() {
    return decoder;
  }

  /** Returns whether a request was sent whose response is incomplete. */
  boolean isResponseExpected() {
    return listener.isPresent() || discarding;
  }

  /** Returns whether the latest request has the method HEAD, so that its response has no body. */
  boolean isHeadRequest() {
    return headRequest;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (!isResponseExpected()) {
        // Bytes that do not belong to any request.
        close();
        return;
      }
      read((HttpObject) message);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    listener.ifPresent(ResponseListener::onReadComplete);
    ctx.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.remove(this);
    disconnect("the target closed the connection before the response was complete");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException) {
      disconnect(String.valueOf(cause.getMessage()));
    } else {
      fail(String.valueOf(cause.getMessage()));
    }
    close();
  }

  private void read(HttpObject message) {
    if (message.decoderResult().isFailure()) {
      failDecoding(message.decoderResult().cause());
      close();
      return;
    }
    if (message instanceof HttpResponse response) {
      if (isJoinedHead(response)) {
        fail("the response is malformed: its head contains a second status line");
        close();
        return;
      }
      Optional<String> coding = findUnsupportedCoding(response);
      if (coding.isPresent()) {
        fail("the transfer coding '" + coding.get() + "' of the response is not supported");
        close();
        return;
      }
      interimResponse = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      if (interimResponse && ++interimResponses > MAX_INTERIM_RESPONSES) {
        fail("more than " + MAX_INTERIM_RESPONSES + " interim responses were received");
        close();
        return;
      }
      if (!interimResponse) {
        framing = headRequest ? ResponseFraming.LENGTH : ResponseFraming.of(response);
        reusable = HttpUtil.isKeepAlive(response) && framing != ResponseFraming.CONNECTION;
        headReceived = true;
        headReceivedMs = MonotonicClock.nowMs();
        listener.ifPresent(responseListener -> responseListener.onHead(response));
      }
    }
    if (interimResponse) {
      return;
    }
    if (message instanceof HttpContent part && (skipping || discarding)) {
      unusedBytes += part.content().readableBytes();
      if (unusedBytes > MAX_UNUSED_BYTES) {
        fail("a response that is not used is longer than " + MAX_UNUSED_BYTES + " bytes");
        close();
        return;
      }
    }
    if (skipping) {
      skipping = !(message instanceof LastHttpContent);
      return;
    }
    if (message instanceof HttpContent part && part.content().isReadable()) {
      listener.ifPresent(responseListener -> responseListener.onContent(part.content()));
    }
    if (!(message instanceof LastHttpContent)) {
      return;
    }
    if (framing == ResponseFraming.CONNECTION && channel.eventLoop().isShuttingDown()) {
      fail("this process closed the connection before the target did");
      return;
    }
    complete();
  }

  private void complete() {
    final Optional<ResponseListener> ended = listener;
    listener = Optional.empty();
    discarding = false;
    channel.config().setAutoRead(true);
    // A response that was not read for a while may have ended since then.
    long idleSinceMs = readSuspendedMs.orElseGet(MonotonicClock::nowMs);
    reusableUntilMs += Math.max(0, idleSinceMs - headReceivedMs);
    boolean requestWritten = written.filter(ChannelFuture::isSuccess).isPresent();
    if (reusable
        && !singleUse
        && requestWritten
        && !decoder.hasUndecodedBytes()
        && channel.isActive()) {
      pool.release(this);
    } else {
      close();
    }
    ended.ifPresent(responseListener -> responseListener.onComplete(framing));
  }

  private void fail(String detail) {
    takeListener().ifPresent(responseListener -> responseListener.onFailure(detail));
  }

  private void failDecoding(Throwable cause) {
    if (cause instanceof PrematureChannelClosureException) {
      disconnect("the target closed the connection inside the response head");
    } else {
      fail("the response is malformed: " + cause.getMessage());
    }
  }

  /** Reports a connection that broke off, and that is closed if it is not yet. */
  private void disconnect(String detail) {
    boolean sent = headWritten.filter(ChannelFuture::isSuccess).isPresent();
    takeListener()
        .ifPresent(
            responseListener -> {
              if (sent) {
                responseListener.onDisconnected(detail);
              } else {
                responseListener.onNotSent(detail);
              }
            });
  }

  private Optional<ResponseListener> takeListener() {
    Optional<ResponseListener> taken = listener;
    listener = Optional.empty();
    return taken;
  }

  /**
   * Returns whether a head that was cut off was joined with the head that followed it. The result
   * would have the status of one response and the headers of both.
   */
  private static boolean isJoinedHead(HttpResponse response) {
    if (STATUS_LINE.matcher(response.status().reasonPhrase()).find()) {
      return true;
    }
    for (Map.Entry<String, String> header : response.headers()) {
      if (STATUS_LINE.matcher(header.getValue()).find()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the first transfer coding that is not decoded, so that the body would be passed on. */
  private static Optional<String> findUnsupportedCoding(HttpResponse response) {
    return response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
        .flatMap(codings -> Arrays.stream(codings.split(",")))
        .map(coding -> coding.trim().toLowerCase(Locale.ROOT))
        .filter(coding -> !DECODED_CODINGS.contains(coding))
        .findFirst();
  }
}
