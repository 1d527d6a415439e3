package org.sequoiareach.store.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;

/**
 * Skips interim responses, which the client would take for the response to its request, and closes
 * a connection whose server sends them without end.
 */
final class InterimResponseLimit extends ChannelInboundHandlerAdapter {

  /** The interim responses to one request, which only announce that its response will follow. */
  static final int MAX_INTERIM_RESPONSES = 32;

  private int count;
  private boolean skipping;

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpResponse response) {
      skipping = isInterim(response);
      count = skipping ? count + 1 : 0;
    }
    if (!skipping) {
      ctx.fireChannelRead(message);
      return;
    }
    ReferenceCountUtil.release(message);
    if (count > MAX_INTERIM_RESPONSES) {
      ctx.close();
    }
  }

  private static boolean isInterim(HttpResponse response) {
    return response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
  }
}
