package org.sequoiareach.daemon.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.model.request.Verdict;

/** Creates responses to requests that were not read completely. */
final class RejectionResponses {

  /** Bounds of the random time after which callers return whose requests were not read. */
  private static final long MIN_RETRY_AFTER_MS = 300;

  private static final long MAX_RETRY_AFTER_MS = 900;

  private RejectionResponses() {}

  /** Creates the headers of a response that promises that the request has not run. */
  static HttpHeaders notRunHeaders(CallDialect dialect) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("Sequoiareach-Verdict", Verdict.NOT_RUN.label());
    long retryAfterMs =
        ThreadLocalRandom.current().nextLong(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    dialect.setRetryAfter(headers, retryAfterMs);
    return headers;
  }

  /** Creates a response after which the connection closes. */
  static FullHttpResponse create(HttpResponseStatus status, String detail, HttpHeaders headers) {
    ByteBuf text = Unpooled.copiedBuffer(detail + "\n", StandardCharsets.UTF_8);
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text);
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes());
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return response;
  }
}
