package org.sequoiareach.store.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * HTTP client codec that rejects invalid responses. It takes the place of Netty's client codec,
 * whose decoder cannot be exchanged.
 */
final class StrictClientCodec
    extends CombinedChannelDuplexHandler<StrictResponseDecoder, HttpRequestEncoder> {

  private final Queue<HttpMethod> unansweredMethods = new ArrayDeque<>();

  StrictClientCodec() {
    init(new Decoder(), new HttpRequestEncoder());
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof HttpRequest request) {
      unansweredMethods.add(request.method());
    }
    super.write(ctx, message, promise);
  }

  private final class Decoder extends StrictResponseDecoder {

    private Decoder() {
      super(new HttpDecoderConfig());
    }

    @Override
    protected boolean answersHeadRequest() {
      return HttpMethod.HEAD.equals(unansweredMethods.poll());
    }
  }
}
