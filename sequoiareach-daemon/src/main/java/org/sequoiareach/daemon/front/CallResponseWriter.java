package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.sequoiareach.model.request.Reason;

/** Writes the response to the request in progress on one caller connection. */
final class CallResponseWriter implements ResponseWriter {

  private final CallerConnection connection;
  private final GatewayHttpServer server;
  private final Channel channel;
  private final HttpMethod method;
  private final AnswerProgress progress;
  private boolean keepAlive;
  private boolean ended;
  private Consumer<Boolean> writableListener = writable -> {};

  CallResponseWriter(
      CallerConnection connection,
      GatewayHttpServer server,
      Channel channel,
      String requestId,
      boolean keepAlive,
      HttpMethod method) {
    this.connection = connection;
    this.server = server;
    this.channel = channel;
    this.progress = new AnswerProgress(requestId, true, server.sheetVersion());
    this.keepAlive = keepAlive;
    this.method = method;
  }

  AnswerProgress progress() {
    return progress;
  }

  /** Ends the response because the caller has left. */
  void markEnded() {
    ended = true;
  }

  /** Tells the exchange whether the caller reads fast enough. */
  void onWritable(boolean writable) {
    writableListener.accept(writable);
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
        .write(new DefaultHttpContent(part))
        .addListener(
            written -> {
              if (written.isSuccess()) {
                progress.onWritten(length);
              }
            });
  }

  @Override
  public void flush() {
    if (isOpen()) {
      channel.flush();
    }
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
    connection.onResponseEnded(keepAlive);
    // A slow caller may still have to take a part of the response.
    written.addListener(ignored -> connection.onResponseSent());
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
    // What is flushed later would look as if the caller still read the response.
    channel.flush();
    ended = true;
    server.answerEnds().onIncomplete(progress, AnswerEnd.ofCut(reason), server.sheetVersion());
    connection.linger();
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void onWritabilityChanged(Consumer<Boolean> listener) {
    writableListener = listener;
  }
}
