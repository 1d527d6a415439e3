package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * HTTP request decoder that rejects ambiguous message framing. If two parsers disagree on the
 * length of a body, one may read a part of it as a separate request, which permits request
 * smuggling (RFC 9112, section 6.3). Bytes that its gate holds back stay undecoded.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  private final DecodeGate gate;

  StrictRequestDecoder(HttpDecoderConfig config, DecodeGate gate) {
    super(config);
    this.gate = gate;
  }

  /** Returns the number of bytes that were received and not decoded. */
  int undecodedBytes() {
    return actualReadableBytes();
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (gate.mayDecode(buffer)) {
      super.decode(ctx, buffer, out);
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    requireOneLength(message.headers());
    return super.isContentAlwaysEmpty(message);
  }

  private static void requireOneLength(HttpHeaders headers) {
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean plain =
        codings.isEmpty()
            || codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim());
    if (!plain) {
      throw new IllegalArgumentException("the transfer encoding " + codings + " is not supported");
    }
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (!codings.isEmpty() && !lengths.isEmpty()) {
      throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
    }
    if (lengths.size() > 1) {
      throw new IllegalArgumentException("Content-Length is present " + lengths.size() + " times");
    }
  }
}
