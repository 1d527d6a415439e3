package org.sequoiareach.store.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * HTTP response decoder that reports a decoder failure for every response that is not valid by RFC
 * 9112. Its superclass repairs some of them, and what it makes of their bytes would be taken for a
 * statement of the server. After a failure it discards all further bytes.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {

  private final ResponseSyntaxValidator validator = new ResponseSyntaxValidator();

  /** The number of bytes ahead of the superclass that have been validated. */
  private int validated;

  private boolean failed;

  /**
   * Creates a decoder.
   *
   * @param config the limits of the decoder
   */
  public StrictResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (failed) {
      buffer.skipBytes(buffer.readableBytes());
      return;
    }
    int start = buffer.readerIndex();
    try {
      validated += validator.validate(buffer, start + validated);
    } catch (MalformedResponseException e) {
      failed = true;
      buffer.skipBytes(buffer.readableBytes());
      HttpMessage message = createInvalidMessage();
      message.setDecoderResult(DecoderResult.failure(e));
      out.add(message);
      return;
    }
    int firstDecoded = out.size();
    super.decode(ctx, buffer, out);
    validated = Math.max(0, validated - (buffer.readerIndex() - start));
    out.subList(firstDecoded, out.size()).forEach(this::onDecoded);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean interim =
        ((HttpResponse) message).status().codeClass() == HttpStatusClass.INFORMATIONAL;
    return !interim && answersHeadRequest() || super.isContentAlwaysEmpty(message);
  }

  /**
   * Returns whether the request that the current response answers has the method HEAD, so that the
   * response has no body. Called once for each response that is not interim.
   *
   * @return whether the method is HEAD
   */
  protected boolean answersHeadRequest() {
    return false;
  }

  private void onDecoded(Object message) {
    failed |= message instanceof HttpObject object && object.decoderResult().isFailure();
    if (message instanceof HttpResponse response && HttpUtil.isTransferEncodingChunked(response)) {
      validator.startChunks();
    }
    // Of a response without a body, too, which is decoded as its head and an empty end.
    if (message instanceof LastHttpContent) {
      validator.startHead();
    }
  }
}
