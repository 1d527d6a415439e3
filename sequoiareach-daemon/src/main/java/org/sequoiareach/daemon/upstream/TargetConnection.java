package org.sequoiareach.daemon.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;

/**
 * Is a connection to a target, which carries one request at a time.
 *
 * <p>It may be used again only if the answer said its own length, the request was written whole and
 * nothing came behind the answer: other bytes would be read as the answer to the next request. Used
 * on the traffic thread alone.
 */
public final class TargetConnection extends ChannelDuplexHandler {

  private final TargetPool pool;
  private Channel channel;
  private Optional<AnswerListener> listener = Optional.empty();
  private Optional<ChannelFuture> written = Optional.empty();
  private boolean interim;
  private boolean reusable;
  private boolean draining;
  private long idleUntilMs;

  TargetConnection(TargetPool pool) {
    this.pool = pool;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  /**
   * Sends a request.
   *
   * @param request its head
   * @param body its body, which is released
   * @param answers receives the answer
   */
  public void send(HttpRequest request, ByteBuf body, AnswerListener answers) {
    listener = Optional.of(answers);
    reusable = false;
    draining = false;
    channel.write(request);
    written = Optional.of(channel.writeAndFlush(new DefaultLastHttpContent(body)));
  }

  /** Gives the connection back without having sent anything on it. */
  public void giveBackUnused() {
    if (channel.isActive()) {
      pool.giveBack(this);
    }
  }

  /** Closes the connection; its listener is not called any more. */
  public void abandon() {
    listener = Optional.empty();
    channel.close();
  }

  /** Lets the target finish, and drops what is left of its answer. */
  public void finishUnheard() {
    if (listener.isPresent()) {
      listener = Optional.empty();
      draining = true;
    }
  }

  /**
   * Sets until when the connection may be used again once its answer is whole.
   *
   * @param untilMs the time
   */
  public void keepUntil(long untilMs) {
    idleUntilMs = untilMs;
  }

  /**
   * Reads on, or stops reading while the caller is slow.
   *
   * @param on whether to read
   */
  public void setReading(boolean on) {
    channel.config().setAutoRead(on);
  }

  boolean isUsableAt(long nowMs) {
    return channel.isActive() && nowMs < idleUntilMs;
  }

  void close() {
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (listener.isEmpty() && !draining) {
        // Bytes that belong to no request.
        channel.close();
        return;
      }
      read((HttpObject) message);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.closed(this);
    fail("the connection was closed before the answer was whole");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail(String.valueOf(cause.getMessage()));
    channel.close();
  }

  private void read(HttpObject message) {
    if (message.decoderResult().isFailure()) {
      fail("the answer cannot be read: " + message.decoderResult().cause().getMessage());
      channel.close();
      return;
    }
    if (message instanceof HttpResponse response) {
      interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      if (!interim) {
        reusable = HttpUtil.isKeepAlive(response) && isFramed(response);
        listener.ifPresent(answers -> answers.onHead(response));
      }
    }
    if (interim) {
      return;
    }
    if (message instanceof HttpContent part && part.content().isReadable()) {
      listener.ifPresent(answers -> answers.onPart(part.content()));
    }
    if (message instanceof LastHttpContent) {
      end();
    }
  }

  private void end() {
    final Optional<AnswerListener> ended = listener;
    listener = Optional.empty();
    draining = false;
    channel.config().setAutoRead(true);
    boolean whole = written.filter(ChannelFuture::isSuccess).isPresent();
    if (reusable && whole && channel.isActive()) {
      pool.giveBack(this);
    } else {
      channel.close();
    }
    ended.ifPresent(AnswerListener::onEnd);
  }

  private void fail(String detail) {
    Optional<AnswerListener> failed = listener;
    listener = Optional.empty();
    failed.ifPresent(answers -> answers.onFailure(detail));
  }

  private static boolean isFramed(HttpResponse response) {
    return HttpUtil.isTransferEncodingChunked(response)
        || HttpUtil.isContentLengthSet(response)
        || response.status().code() == 204
        || response.status().code() == 304;
  }
}
