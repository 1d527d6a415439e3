package org.sequoiareach.daemon.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.sequoiareach.daemon.dialect.AttemptMetadata;
import org.sequoiareach.daemon.dialect.CallDialect;

/** Creates the request heads of attempts from the request of a caller. */
final class AttemptRequestFactory {

  private final CallDialect dialect;

  AttemptRequestFactory(CallDialect dialect) {
    this.dialect = dialect;
  }

  /**
   * Creates the head of a request that is sent with the whole body of the caller's request.
   *
   * @throws IllegalArgumentException if a header would be invalid
   */
  HttpRequest create(HttpRequest request, ByteBuf body, AttemptMetadata attempt) {
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    HopByHopHeaders.removeFrom(headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    headers.remove(HttpHeaderNames.EXPECT);
    dialect.setAttemptHeaders(headers, attempt);
    if (body.isReadable() || !HttpMethod.GET.equals(request.method())) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), headers);
  }
}
