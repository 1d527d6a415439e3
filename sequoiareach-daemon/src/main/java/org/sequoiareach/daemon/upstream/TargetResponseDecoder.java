package org.sequoiareach.daemon.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.ReferenceCountUtil;
import org.sequoiareach.store.http.StrictResponseDecoder;

/**
 * Strict HTTP response decoder that closes the connection when bytes arrive that no request waits
 * for. Kept in the decoder, the start of an unrequested response would be joined with the response
 * to the next request.
 */
final class TargetResponseDecoder extends StrictResponseDecoder {

  private final TargetConnection connection;

  TargetResponseDecoder(HttpDecoderConfig config, TargetConnection connection) {
    super(config);
    this.connection = connection;
  }

  /** Returns whether bytes have been received that belong to none of the decoded messages. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (!connection.isResponseExpected()) {
      ReferenceCountUtil.release(message);
      ctx.close();
      return;
    }
    super.channelRead(ctx, message);
  }

  @Override
  protected boolean answersHeadRequest() {
    return connection.isHeadRequest();
  }
}
