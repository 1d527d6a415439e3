package org.sequoiareach.store.http;

import io.netty.channel.ChannelPipeline;
import org.sequoiareach.model.Check;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/** Protects HTTP clients from servers that do not keep to the protocol. */
public final class ResponseHardening {

  private static final String INTERIM_LIMIT_NAME = "interimResponseLimit";

  private ResponseHardening() {}

  /**
   * Lets a client fail on responses that are not valid by RFC 9112 and on interim responses without
   * end, and closes the connections of both.
   *
   * @param client the client, which uses HTTP/1.1
   * @return the protected client
   */
  public static HttpClient applyTo(HttpClient client) {
    return Check.notNull(client, "client")
        .doOnChannelInit((observer, channel, address) -> protect(channel.pipeline()));
  }

  private static void protect(ChannelPipeline pipeline) {
    pipeline.replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new StrictClientCodec());
    pipeline.addAfter(NettyPipeline.HttpCodec, INTERIM_LIMIT_NAME, new InterimResponseLimit());
  }
}
